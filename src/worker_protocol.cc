#include "worker_protocol.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace egretswitch::internal {
namespace {

using Json = nlohmann::json;

absl::Status Malformed(const Json::exception& error) {
  return absl::DataLossError(
      absl::StrCat("worker: reply is malformed: ", error.what()));
}

// Any status of an ended task other than "finished" is a failure.
TaskStatus ParseStatus(const std::string& status) {
  return status == "finished" ? TaskStatus::kFinished : TaskStatus::kFailed;
}

WorkerTask ParseTask(const Json& json) {
  WorkerTask task;
  task.lease = json.at("lease").get<std::string>();
  task.key.team = json.at("team").get<std::string>();
  task.key.id = json.at("id").get<std::string>();
  task.index = json.at("index").get<uint32_t>();
  return task;
}

SequencedEnd ParseEnd(const Json& json) {
  SequencedEnd end;
  end.sequence = json.at("seq").get<uint64_t>();
  end.ended.lease = json.at("lease").get<std::string>();
  end.ended.status = ParseStatus(json.at("status").get<std::string>());
  end.ended.payload = json.at("output").get<std::string>();
  end.ended.run_ms = json.at("run_ms").get<uint32_t>();
  return end;
}

}  // namespace

std::string EncodeHolder(std::string_view holder) {
  return Json{{"holder", holder}}.dump();
}

std::string EncodeStop(std::string_view holder,
                       absl::Span<const LeaseId> leases) {
  Json json = {{"holder", holder}, {"leases", Json::array()}};
  for (const LeaseId& lease : leases) {
    json["leases"].push_back(lease);
  }
  return json.dump();
}

absl::StatusOr<std::string> EncodeStart(const StartOnWorker& start) {
  const Json json = {{"lease", start.lease},
                     {"team", start.key.team},
                     {"id", start.key.id},
                     {"index", start.index},
                     {"payload", start.spec.payload},
                     {"millicores", start.spec.needs.millicores},
                     {"memory_mb", start.spec.needs.memory_mb},
                     {"accelerators", start.spec.needs.accelerators}};
  try {
    return json.dump();
  } catch (const Json::exception& error) {
    return absl::InvalidArgumentError(error.what());
  }
}

std::string EncodeBatch(std::string_view holder,
                        absl::Span<const std::string> starts) {
  return absl::StrCat("{\"holder\":", Json(holder).dump(), ",\"tasks\":[",
                      absl::StrJoin(starts, ","), "]}");
}

absl::StatusOr<WorkerTaskList> ParseTaskList(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    WorkerTaskList list;
    list.instance = json.at("instance").get<std::string>();
    for (const Json& task : json.at("tasks")) {
      list.tasks.push_back(ParseTask(task));
    }
    return list;
  } catch (const Json::exception& error) {
    return Malformed(error);
  }
}

absl::StatusOr<std::vector<StartResult>> ParseStartResults(
    const std::string& body) {
  try {
    const Json json = Json::parse(body);
    std::vector<StartResult> results;
    for (const Json& item : json.at("results")) {
      StartResult result;
      result.lease = item.at("lease").get<std::string>();
      result.verdict = item.at("verdict").get<std::string>();
      // A duplicate of an earlier start that was accepted.
      result.accepted =
          result.verdict == "accepted" || result.verdict == "duplicate";
      results.push_back(std::move(result));
    }
    return results;
  } catch (const Json::exception& error) {
    return Malformed(error);
  }
}

absl::StatusOr<EndsPage> ParseEnds(const std::string& body) {
  try {
    const Json json = Json::parse(body);
    EndsPage page;
    page.instance = json.at("instance").get<std::string>();
    for (const Json& item : json.at("ended")) {
      page.ends.push_back(ParseEnd(item));
    }
    return page;
  } catch (const Json::exception& error) {
    return Malformed(error);
  }
}

std::optional<std::string> ParseCurrentHolder(const std::string& body) {
  const Json json = Json::parse(body, nullptr, false);
  if (!json.is_object() || !json.contains("holder") ||
      !json["holder"].is_string()) {
    return std::nullopt;
  }
  return json["holder"].get<std::string>();
}

}  // namespace egretswitch::internal
