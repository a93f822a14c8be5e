// Other writers may put any bytes into the store. An unreadable record is
// skipped and counted; the records around it are applied.
#include "deployment_tables.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "duration_text.h"
#include "logging.h"
#include "member_record.h"
#include "random_seed.h"

namespace egretswitch::internal {
namespace {

// The longest key that the store accepts.
constexpr size_t kMaxNameLength = 255;

bool IsDataCentreName(std::string_view name) {
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(),
                     [](unsigned char c) { return absl::ascii_isgraph(c); });
}

absl::StatusOr<MemberAddress> DecodeRecord(const KeyedRecord& record) {
  absl::StatusOr<MemberAddress> member = DecodeMember(record.value);
  if (member.ok() && member->name != record.key) {
    return absl::InvalidArgumentError("the key is not the member's name");
  }
  if (member.ok()) {
    member->version = record.offset + 1;
  }
  return member;
}

}  // namespace

// Records of a page that were skipped: how many, and the last one.
struct DeploymentTables::UnreadableRecords {
  uint32_t count = 0;
  std::string last_key = {};
  std::string reason;
};

DeploymentTables::UnreadableRecords DeploymentTables::SkippedIn(
    const KeyedPage& page) {
  return {.count = page.unreadable,
          .last_key =
              page.unreadable_keys.empty() ? "" : page.unreadable_keys.back(),
          .reason = "no key or value"};
}

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
          TimersOf(loop),
          m_source.store,
          StoreTable::kConfig,
          m_source.config_apply_limit,
          [this](const KeyedPage& page) { OnOperatorsPage(page); },
          [this] { OnStoreFailure(StoreTable::kConfig); }),
      m_members_follower(
          TimersOf(loop),
          m_source.store,
          StoreTable::kMembers,
          m_source.config_apply_limit,
          [this](const KeyedPage& page) { OnMembersPage(page); },
          [this] { OnStoreFailure(StoreTable::kMembers); }) {}

void DeploymentTables::Start() {
  m_config_follower.Start();
  m_members_follower.Start();
}

// ---- The store

void DeploymentTables::OnStoreFailure(StoreTable table) {
  m_counters.Add(RunCounter::kStoreFailures);
  Deliver(StoreReadResult{table, true});
}

// Evacuations are applied first: the first configuration opens the entry to
// callers, and by then the entry must have the evacuated data centres.
void DeploymentTables::OnOperatorsPage(const KeyedPage& page) {
  Deliver(StoreReadResult{StoreTable::kConfig, false});
  ReadEvacuations(page);
  ReadConfig(page);
}

// A data centre is evacuated even if the value of its record can't be read: the
// key names the data centre, and if uncertain, no work is sent there.
void DeploymentTables::ReadEvacuations(const KeyedPage& page) {
  EvacuationsRead read{
      .records = {}, .through = page.next_offset, .whole = page.whole};
  UnreadableRecords unreadable{.reason = "not the name of a data centre"};
  const auto add = [&](std::string_view key, bool evacuated, uint64_t version) {
    if (!key.starts_with(m_source.evacuation_prefix)) {
      return;
    }
    const std::string_view name = key.substr(m_source.evacuation_prefix.size());
    if (IsDataCentreName(name)) {
      read.records.push_back({std::string(name), evacuated, version});
    } else {
      ++unreadable.count;
      unreadable.last_key = std::string(key);
    }
  };
  for (const KeyedRecord& record : page.records) {
    add(record.key, !record.removed, record.offset + 1);
  }
  for (const std::string& key : page.unreadable_keys) {
    add(key, true, page.next_offset);
  }
  LogUnreadable("evacuations", page.next_offset, unreadable);
  Deliver(read);
}

void DeploymentTables::ReadConfig(const KeyedPage& page) {
  UnreadableRecords unreadable = SkippedIn(page);
  for (const KeyedRecord& record : page.records) {
    if (record.key != m_source.config_key || record.removed) {
      continue;
    }
    absl::StatusOr<ServiceConfig> config = m_source.decode_config(record.value);
    if (!config.ok()) {
      ++unreadable.count;
      unreadable.last_key = record.key;
      unreadable.reason = std::string(config.status().message());
      continue;
    }
    Deliver(ConfigRead{*std::move(config)});
  }
  LogUnreadable("config", page.next_offset, unreadable);
}

void DeploymentTables::OnMembersPage(const KeyedPage& page) {
  Deliver(StoreReadResult{StoreTable::kMembers, false});
  MembersRead read{
      .members = {}, .removed = {}, .next_offset = page.next_offset};
  UnreadableRecords unreadable = SkippedIn(page);
  for (const KeyedRecord& record : page.records) {
    if (record.removed) {
      read.removed.push_back({record.key, record.offset + 1});
      continue;
    }
    absl::StatusOr<MemberAddress> member = DecodeRecord(record);
    if (!member.ok()) {
      ++unreadable.count;
      unreadable.last_key = record.key;
      unreadable.reason = std::string(member.status().message());
      if (page.whole) {
        m_former_members[record.key].reset();
      }
      continue;
    }
    read.members.push_back(*std::move(member));
  }
  LogUnreadable("members", page.next_offset, unreadable);
  for (const std::string& key : page.unreadable_keys) {
    m_former_members[key].reset();
  }
  Deliver(read);
  ReadFormerMembers();
}

// A process records itself only when it starts and when its worker changes, so
// the record that an unreadable one has replaced is looked for in the history
// of the table.
void DeploymentTables::ReadFormerMembers() {
  if (m_reading_former_members) {
    return;
  }
  std::erase_if(m_former_members, [this](const auto& item) {
    return members().Find(item.first) != nullptr;
  });
  if (!m_former_members.empty()) {
    m_reading_former_members = true;
    ReadFormerMembers(0);
  }
}

void DeploymentTables::ReadFormerMembers(uint64_t from) {
  m_source.store.ReadNow(StoreTable::kMembers, from,
                         [this, from](const absl::StatusOr<KeyedPage>& page) {
                           OnFormerMembers(from, page);
                         });
}

// A failed read is repeated after the next one of the newest records.
void DeploymentTables::OnFormerMembers(uint64_t from,
                                       const absl::StatusOr<KeyedPage>& page) {
  if (!page.ok()) {
    m_reading_former_members = false;
    LogStateChange({"former members not read",
                    {{"first_name", m_former_members.begin()->first},
                     {"members", absl::StrCat(m_former_members.size())},
                     {"reason", std::string(page.status().message())}},
                    true});
    if (absl::IsOutOfRange(page.status())) {
      m_former_members.clear();
    }
    return;
  }
  TakeFormerMembers(*page);
  if (page->next_offset < page->end && page->next_offset > from) {
    ReadFormerMembers(page->next_offset);
    return;
  }
  MembersRead found;
  for (auto& [name, member] : std::exchange(m_former_members, {})) {
    if (member.has_value()) {
      found.members.push_back(*std::move(member));
    }
  }
  m_reading_former_members = false;
  Deliver(found);
}

void DeploymentTables::TakeFormerMembers(const KeyedPage& page) {
  for (const KeyedRecord& record : page.records) {
    const auto it = m_former_members.find(record.key);
    if (it == m_former_members.end()) {
      continue;
    }
    absl::StatusOr<MemberAddress> member = DecodeRecord(record);
    if (member.ok()) {
      it->second = *std::move(member);
    } else if (record.removed) {
      it->second.reset();
    }
  }
}

void DeploymentTables::LogUnreadable(std::string_view table,
                                     uint64_t next_offset,
                                     const UnreadableRecords& unreadable) {
  if (unreadable.count == 0) {
    return;
  }
  m_counters.Add(RunCounter::kRecordsUnreadable, unreadable.count);
  LogStateChange(LogLevel::kError,
                 {"records unreadable",
                  {{"table", std::string(table)},
                   {"records", absl::StrCat(unreadable.count)},
                   {"next_offset", absl::StrCat(next_offset)},
                   {"last_key", unreadable.last_key},
                   {"last_reason", unreadable.reason}},
                  true});
}

// ---- Messages of other entries

void DeploymentTables::OnEntryConnected(const std::string& name,
                                        PeerProximity proximity) {
  Deliver(EntryConnected{name, proximity});
}

void DeploymentTables::OnAgentConnected(const std::string& name,
                                        PeerProximity proximity) {
  Deliver(AgentConnected{name, proximity});
}

Evacuations DeploymentTables::evacuations_for_agents() const {
  Evacuations state = evacuations();
  state.through = m_exchange.evacuations_confirmed() ? state.through : 0;
  return state;
}

void DeploymentTables::OnEntryDisconnected(const std::string& name) {
  Deliver(EntryDisconnected{name});
}

void DeploymentTables::OnMessage(const std::string& entry,
                                 const TableMessage& body) {
  Deliver(TableMessageReceived{entry, body});
}

// ---- Actions

void DeploymentTables::Deliver(const TableEvent& event) {
  for (const TableAction& action :
       m_exchange.Handle(event, EventLoop::MonoNow())) {
    std::visit([this](const auto& requested) { Perform(requested); }, action);
  }
  m_wake.Arm(m_exchange.NextWake());
}

void DeploymentTables::Perform(const SendTableMessage& tell) {
  m_events.send(tell.name, tell.body);
}

void DeploymentTables::Perform(const ConfigInForce& change) {
  m_counters.Add(RunCounter::kConfigVersions);
  if (change.from_agent) {
    m_counters.Add(RunCounter::kConfigsFromAgents);
  }
  LogStateChange(
      {"configuration in force",
       {{"version", absl::StrCat(config().version)},
        {"former", absl::StrCat(change.former)},
        {"queues", absl::StrCat(config().queues.size())},
        {"from", change.from},
        {"behind_ms", MillisecondsText(change.behind)},
        {"unconfirmed_ms",
         MillisecondsText(EventLoop::MonoNow() - config_confirmed_at())}}});
  m_events.config_changed();
}

void DeploymentTables::Perform(const EvacuationsInForce& change) {
  const std::string version = absl::StrCat(evacuations().through);
  for (const std::string& data_centre : change.begun) {
    m_counters.Add(RunCounter::kEvacuationsBegun);
    m_evacuation_sources[data_centre] = {EventLoop::MonoNow(), change.from};
    LogStateChange({"data centre evacuated",
                    {{"data_centre", data_centre},
                     {"version", version},
                     {"from", change.from}}});
  }
  for (const std::string& data_centre : change.ended) {
    m_counters.Add(RunCounter::kEvacuationsEnded);
    m_evacuation_sources.erase(data_centre);
    LogStateChange({"data centre taken back",
                    {{"data_centre", data_centre},
                     {"version", version},
                     {"from", change.from}}});
  }
  m_events.evacuations_changed();
}

void DeploymentTables::Perform(const MembersChanged& change) {
  for (const MemberAddress& member : change.members) {
    LogStateChange({"member recorded",
                    {{"name", member.name},
                     {"address", member.address},
                     {"version", absl::StrCat(member.version)},
                     {"from", change.from}}});
  }
  m_events.members_changed();
}

void DeploymentTables::Perform(const CopyContradicted& change) {
  m_counters.Add(RunCounter::kCopiesContradicted);
  LogStateChange(LogLevel::kError, {"copy contradicted by the store",
                                    {{"table", change.table},
                                     {"copied", absl::StrCat(change.copied)},
                                     {"stored", absl::StrCat(change.stored)}},
                                    true});
}

// Entries have no copies.
void DeploymentTables::Perform(const CopyRequested&) {}

void DeploymentTables::Perform(const NoteStateChange& change) {
  LogStateChange(change);
}

}  // namespace egretswitch::internal
