#include "service_config.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

struct ServiceConfigFixture {
  ServiceConfigFixture() {
    Add("wide", "desk.example", "/stock/");
    Add("narrow", "desk.example", "/stock/urgent/");
    Add("other", "list.example", "/stock/");
  }

  void Add(const char* name, const char* host, const char* prefix) {
    JobQueue queue;
    queue.name = name;
    queue.host = host;
    queue.path_prefix = prefix;
    config.queues.push_back(queue);
  }

  ServiceConfig config;
};

BOOST_FIXTURE_TEST_SUITE(service_config, ServiceConfigFixture)

BOOST_AUTO_TEST_CASE(find_queue_two_prefixes_match_gives_the_longer) {
  const JobQueue* queue = config.FindQueue("desk.example", "/stock/urgent/5c");
  BOOST_REQUIRE(queue != nullptr);
  BOOST_TEST(queue->name == "narrow");
}

BOOST_AUTO_TEST_CASE(find_queue_same_prefix_on_another_host_is_that_hosts) {
  BOOST_TEST(config.FindQueue("list.example", "/stock/5c")->name == "other");
}

BOOST_AUTO_TEST_CASE(find_queue_unknown_host_or_path_gives_none) {
  BOOST_TEST(config.FindQueue("desk.example", "/price/5c") == nullptr);
  BOOST_TEST(config.FindQueue("none.example", "/stock/5c") == nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
