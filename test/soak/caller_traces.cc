#include "caller_traces.h"

#include "absl/strings/str_cat.h"

namespace egretswitch::soak {
namespace {

constexpr std::string_view kRequestLine = "POST /checks/";

// The job that a request names; empty when no request begins here.
std::string JobOf(std::string_view bytes) {
  if (!bytes.starts_with(kRequestLine)) {
    return {};
  }
  bytes.remove_prefix(kRequestLine.size());
  return std::string(bytes.substr(0, bytes.find(' ')));
}

}  // namespace

void CallerTraces::Watch(const std::string& entry, LoopbackProxy& proxy) {
  ProxyObserver observer;
  observer.delivered = [this, entry](uint64_t number, std::string_view bytes) {
    OnDelivered({entry, number}, bytes);
  };
  observer.undelivered = [this, entry](uint64_t number,
                                       std::string_view bytes) {
    OnUndelivered({entry, number}, bytes);
  };
  observer.client_ended = [this, entry](uint64_t number) {
    Trace({entry, number}, "its caller ended the connection");
  };
  observer.answered = [this, entry](uint64_t number) {
    m_unanswered.erase({entry, number});
  };
  observer.server_told = [this, entry](uint64_t number, bool by_client) {
    OnEnd({entry, number}, by_client);
  };
  proxy.SetObserver(std::move(observer));
}

void CallerTraces::OnDelivered(const ConnectionKey& connection,
                               std::string_view bytes) {
  std::string job = JobOf(bytes);
  if (job.empty()) {
    return;
  }
  m_job_of[connection] = std::move(job);
  m_unanswered.insert(connection);
  Trace(connection, "request delivered");
}

void CallerTraces::OnUndelivered(const ConnectionKey& connection,
                                 std::string_view bytes) {
  std::string job = JobOf(bytes);
  if (job.empty()) {
    return;
  }
  m_job_of[connection] = std::move(job);
  m_undelivered.insert(connection);
  Trace(connection, "request never delivered");
}

void CallerTraces::OnEnd(const ConnectionKey& connection, bool by_client) {
  Trace(connection, by_client ? "the entry was told of the caller's end"
                              : "the proxy or the entry ended the connection");
  m_job_of.erase(connection);
  if (m_unanswered.erase(connection) > 0 && !by_client) {
    ++m_cut_off_after_delivery;
  }
  if (m_undelivered.erase(connection) > 0 && !by_client) {
    ++m_never_delivered;
  }
}

void CallerTraces::Trace(const ConnectionKey& connection,
                         std::string_view what) {
  if (const auto job = m_job_of.find(connection); job != m_job_of.end()) {
    m_ledger.Trace(job->second,
                   absl::StrCat(connection.first, " connection ",
                                connection.second, ": ", std::string(what)));
  }
}

}  // namespace egretswitch::soak
