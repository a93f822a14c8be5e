#include "load_scenario_yaml.h"

#include <yaml-cpp/yaml.h>

#include <filesystem>
#include <map>

#include "absl/strings/str_cat.h"

namespace egretswitch::internal {
namespace {

VirtualUs Seconds(const YAML::Node& node) {
  return static_cast<VirtualUs>(1e6 * node.as<double>());
}

LoadBurst ReadBurst(const YAML::Node& node) {
  LoadBurst burst;
  burst.at = Seconds(node["at_s"]);
  burst.lasts = Seconds(node["for_s"]);
  burst.factor = node["factor"].as<double>(1);
  burst.kind = node["kind"].as<std::string>("");
  burst.size = node["size"].as<double>(1);
  return burst;
}

LoadTrouble ReadTrouble(const YAML::Node& node) {
  static const std::map<std::string, LoadTrouble::Kind> kKinds = {
      {"slow", LoadTrouble::Kind::kSlow},
      {"crash", LoadTrouble::Kind::kCrash},
      {"hang", LoadTrouble::Kind::kHang},
      {"power_loss", LoadTrouble::Kind::kPowerLoss},
      {"lost_answers", LoadTrouble::Kind::kLostAnswers},
      {"evacuation", LoadTrouble::Kind::kEvacuation}};
  LoadTrouble trouble;
  trouble.kind = kKinds.at(node["kind"].as<std::string>());
  trouble.at = Seconds(node["at_s"]);
  trouble.lasts = Seconds(node["for_s"]);
  trouble.share = node["share"].as<double>(0);
  trouble.factor = node["factor"].as<double>(1);
  return trouble;
}

LabScenario Read(const YAML::Node& root) {
  static const std::map<std::string, LoadScenario (*)()> kLoads = {
      {"mixed", MixedLoad},
      {"fleet", [] { return FleetLoad(); }},
      {"many_small", ManySmallJobsLoad},
      {"two_kinds", TwoKindsLoad}};
  LabScenario scenario;
  const auto workers = root["workers"].as<std::string>("mixed");
  scenario.load = kLoads.at(workers)();
  LoadScenario& load = scenario.load;
  load.load = root["load"].as<double>(1);
  load.estimate_bias = root["estimate_bias"].as<double>(1);
  if (root["entries"]) {
    load.entries = root["entries"].as<int>();
    load.entry_shares.clear();
  }
  load.entry_shares =
      root["entry_shares"].as<std::vector<int>>(load.entry_shares);
  for (const YAML::Node& node : root["bursts"]) {
    load.bursts.push_back(ReadBurst(node));
  }
  for (const YAML::Node& node : root["troubles"]) {
    load.troubles.push_back(ReadTrouble(node));
  }
  if (const YAML::Node cancels = root["cancels"]) {
    load.cancels = {.at = Seconds(cancels["at_s"]),
                    .lasts = Seconds(cancels["for_s"]),
                    .share = cancels["share"].as<double>()};
  }
  scenario.from = Seconds(root["windows"][0]);
  scenario.to = Seconds(root["windows"][1]);
  return scenario;
}

}  // namespace

absl::StatusOr<LabScenario> ReadLabScenario(const std::string& path) {
  try {
    LabScenario scenario = Read(YAML::LoadFile(path));
    scenario.load.name = std::filesystem::path(path).stem().string();
    return scenario;
  } catch (const std::exception& error) {
    return absl::InvalidArgumentError(
        absl::StrCat("user error: ", path, ": ", error.what()));
  }
}

}  // namespace egretswitch::internal
