// Whoever may write to the store, what can't be read names nothing to use, and
// its neighbours hold.
#include "deployment_tables.h"

#include <random>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "logging.h"
#include "member_record.h"

namespace egretswitch::internal {
namespace {

uint64_t RandomSeed() {
  std::random_device device;
  return device();
}

}  // namespace

DeploymentTables::DeploymentTables(EventLoop& loop,
                                   TableSource source,
                                   std::string self,
                                   DeploymentTablesEvents events)
    : m_source(std::move(source)),
      m_self(std::move(self)),
      m_events(std::move(events)),
      m_exchange(RandomSeed()),
      m_wake(loop, [this] { Deliver(TableTimePassed{}); }),
      m_config_follower(
          loop,
          m_source.store,
          StoreTable::kConfig,
          [this](const KeyedPage& page) { OnConfigPage(page); },
          [this] { OnFailure(StoreTable::kConfig); }),
      m_members_follower(
          loop,
          m_source.store,
          StoreTable::kMembers,
          [this](const KeyedPage& page) { OnMembersPage(page); },
          [this] { OnFailure(StoreTable::kMembers); }) {}

void DeploymentTables::Start() {
  m_config_follower.Start();
  m_members_follower.Start();
}

// ---- The store

void DeploymentTables::OnFailure(StoreTable table) {
  m_counters.Add(RunCounter::kStoreFailures);
  Deliver(StoreSeen{table, true});
}

void DeploymentTables::OnConfigPage(const KeyedPage& page) {
  Deliver(StoreSeen{StoreTable::kConfig, false});
  uint32_t unreadable = 0;
  std::string reason = "no key or value";
  for (const KeyedRecord& record : page.records) {
    if (record.key != m_source.config_key || record.removed) {
      continue;
    }
    absl::StatusOr<ServiceConfig> config = m_source.decode_config(record.value);
    if (!config.ok()) {
      ++unreadable;
      reason = std::string(config.status().message());
      continue;
    }
    Deliver(ConfigRead{*std::move(config)});
  }
  NoteUnreadable("config", page, unreadable, reason);
}

void DeploymentTables::OnMembersPage(const KeyedPage& page) {
  Deliver(StoreSeen{StoreTable::kMembers, false});
  MembersRead read{
      .members = {}, .removed = {}, .next_offset = page.next_offset};
  uint32_t unreadable = 0;
  std::string reason = "no key or value";
  for (const KeyedRecord& record : page.records) {
    if (record.removed) {
      read.removed.push_back({record.key, record.offset + 1});
      continue;
    }
    absl::StatusOr<MemberAddress> member = DecodeMember(record.value);
    if (!member.ok() || member->name != record.key) {
      ++unreadable;
      reason = member.ok() ? "the key is not the member's name"
                           : std::string(member.status().message());
      continue;
    }
    member->version = record.offset + 1;
    read.members.push_back(*std::move(member));
  }
  NoteUnreadable("members", page, unreadable, reason);
  Deliver(read);
}

void DeploymentTables::NoteUnreadable(std::string_view table,
                                      const KeyedPage& page,
                                      uint32_t records,
                                      const std::string& reason) {
  const uint32_t unreadable = page.unreadable + records;
  if (unreadable == 0) {
    return;
  }
  m_counters.Add(RunCounter::kRecordsUnreadable, unreadable);
  LogStateChange(LogLevel::kError,
                 {"records unreadable",
                  {{"table", std::string(table)},
                   {"records", absl::StrCat(unreadable)},
                   {"next_offset", absl::StrCat(page.next_offset)},
                   {"last_reason", reason}},
                  true});
}

// ---- Other entries

void DeploymentTables::EntryUp(const std::string& name, PeerPlace place) {
  Deliver(EntryLinked{name, place});
}

void DeploymentTables::EntryDown(const std::string& name) {
  Deliver(EntryUnlinked{name});
}

void DeploymentTables::OnMessage(const std::string& entry,
                                 const TableMessage& body) {
  Deliver(EntrySaid{entry, body});
}

std::vector<PeerAddress> DeploymentTables::DialTargets() const {
  std::vector<PeerAddress> targets = members().DialTargets();
  std::erase_if(targets, [this](const PeerAddress& target) {
    return target.name == m_self;
  });
  return targets;
}

// ---- Actions

void DeploymentTables::Deliver(const TableEvent& event) {
  for (const TableAction& action :
       m_exchange.Handle(event, EventLoop::MonoNow())) {
    std::visit([this](const auto& wanted) { Perform(wanted); }, action);
  }
  m_wake.Arm(m_exchange.NextWake());
}

void DeploymentTables::Perform(const TellEntry& tell) {
  m_events.send(tell.name, tell.body);
}

void DeploymentTables::Perform(const ConfigInForce& change) {
  m_counters.Add(RunCounter::kConfigVersions);
  LogStateChange({"configuration in force",
                  {{"version", absl::StrCat(config().version)},
                   {"former", absl::StrCat(change.former)},
                   {"queues", absl::StrCat(config().queues.size())},
                   {"from", change.from}}});
  m_events.config_changed();
}

void DeploymentTables::Perform(const MembersChanged& change) {
  for (const MemberAddress& member : change.members) {
    LogStateChange({"member known",
                    {{"name", member.name},
                     {"address", member.address},
                     {"version", absl::StrCat(member.version)},
                     {"from", change.from}}});
  }
  m_events.members_changed();
}

void DeploymentTables::Perform(const NoteStateChange& change) {
  LogStateChange(change);
}

}  // namespace egretswitch::internal
