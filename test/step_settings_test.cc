// Tests the settings of the roles that serve jobs made of steps.
#include "step_settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace egretswitch::internal {
namespace {

constexpr char kEntry[] = R"(role: step_entry
name: front-1
data_centre: plx
region: north
listen: "10.1.0.13:7720"
shared_key: links-within-one-deployment
callers: {listen: "10.1.0.13:8161"}
ready: {listen: "10.1.0.13:8167"}
metrics: {listen: "10.1.0.13:7735"}
store: {url: "http://10.200.1.7:8169"}
)";

constexpr char kAgent[] = R"(role: step_agent
name: side-1
listen: "10.1.0.14:7720"
shared_key: links-within-one-deployment
announcements: {listen: "10.1.0.14:8166"}
worker: {url: "http://10.1.0.14:8165"}
metrics: {listen: "10.1.0.14:7735"}
store: {url: "http://10.200.1.7:8169"}
)";

std::string ErrorOf(const std::string& text) {
  const auto settings = ParseStepSettings(text, "node.yaml");
  return settings.ok() ? "" : std::string(settings.status().message());
}

BOOST_AUTO_TEST_SUITE(step_settings)

BOOST_AUTO_TEST_CASE(entry_with_every_key_is_read) {
  BOOST_TEST(IsStepSettings(kEntry));
  const auto settings = ParseStepSettings(kEntry, "node.yaml");
  BOOST_REQUIRE(settings.ok());
  BOOST_TEST(settings->common.name == "front-1");
  BOOST_TEST(settings->common.store_address == "10.200.1.7:8169");
  BOOST_TEST(settings->common.logging.to_stdout);
  const auto& entry = std::get<StepEntrySettings>(settings->role);
  BOOST_TEST(entry.callers_listen.Text() == "10.1.0.13:8161");
}

BOOST_AUTO_TEST_CASE(config_apply_limit_is_read_or_defaults) {
  const auto limit_of = [](const std::string& text) {
    const auto settings = ParseStepSettings(text, "node.yaml");
    BOOST_REQUIRE(settings.ok());
    return std::get<StepEntrySettings>(settings->role).config_apply_limit;
  };
  BOOST_TEST((limit_of(kEntry) == kDefaultConfigApplyLimit));
  const std::string text = kEntry;
  BOOST_TEST((limit_of(text + "configuration: {in_force_within_ms: 4000}\n") ==
              absl::Seconds(4)));
  BOOST_TEST(ErrorOf(text + "configuration: {in_force_within_ms: 0}\n")
                 .find("in_force_within_ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(tables_are_kept_at_agents_only_if_set) {
  for (const std::string text : {kEntry, kAgent}) {
    const auto unset = ParseStepSettings(text, "node.yaml");
    const auto set = ParseStepSettings(
        text + "tables: {keep_at_agents: true}\n", "node.yaml");
    BOOST_REQUIRE(unset.ok() && set.ok());
    BOOST_TEST(!unset->common.keep_tables_at_agents);
    BOOST_TEST(set->common.keep_tables_at_agents);
    BOOST_TEST(ErrorOf(text + "tables: {keep_at_agents: maybe}\n")
                   .find("keep_at_agents") != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(agent_with_every_key_is_read) {
  const auto settings = ParseStepSettings(kAgent, "node.yaml");
  BOOST_REQUIRE(settings.ok());
  const auto& agent = std::get<StepAgentSettings>(settings->role);
  BOOST_TEST(agent.worker_address == "10.1.0.14:8165");
}

BOOST_AUTO_TEST_CASE(longest_lease_of_the_worker_is_read_or_unknown) {
  const auto lease_of = [](const std::string& text) {
    const auto settings = ParseStepSettings(text, "node.yaml");
    BOOST_REQUIRE(settings.ok());
    return std::get<StepAgentSettings>(settings->role).max_worker_lease;
  };
  BOOST_TEST((lease_of(kAgent) == absl::ZeroDuration()));
  const auto with = [](const std::string& lease) {
    std::string text = kAgent;
    const std::string url = "10.1.0.14:8165\"";
    return text.insert(text.find(url) + url.size(), ", max_lease_ms: " + lease);
  };
  BOOST_TEST((lease_of(with("15000")) == absl::Seconds(15)));
  BOOST_TEST(ErrorOf(with("0")).find("max_lease_ms") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(all_faults_are_reported_with_their_keys) {
  std::string text = kEntry;
  text.replace(text.find("10.1.0.13:8161"), 14, "localhost:8161");
  text += "surprise: 1\n";
  text += "seeds: 10.1.0.13:8166\n";  // not a key: the store lists the entries
  const std::string error = ErrorOf(text);
  BOOST_TEST(error.find("callers.listen") != std::string::npos);
  BOOST_TEST(error.find("surprise") != std::string::npos);
  BOOST_TEST(error.find("seeds") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(key_that_is_missing_is_named) {
  std::string text = kAgent;
  text.erase(text.find("worker:"),
             text.find("metrics:") - text.find("worker:"));
  BOOST_TEST(ErrorOf(text).find("worker") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(other_roles_and_invalid_yaml_are_not_step_settings) {
  BOOST_TEST(!IsStepSettings("role: entry\n"));
  BOOST_TEST(!IsStepSettings("{{{"));
  BOOST_TEST(!IsStepSettings(""));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
