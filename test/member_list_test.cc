// Tests which record of a member an entry retains.
#include "member_list.h"

#include <boost/test/unit_test.hpp>

namespace egretswitch::internal {
namespace {

struct MemberListFixture {
  static MemberAddress Agent(uint64_t version, const std::string& worker) {
    MemberAddress agent;
    agent.name = "agent-3";
    agent.address = "10.1.0.14:7720";
    agent.version = version;
    agent.worker.incarnation = worker;
    return agent;
  }

  std::string Worker() const {
    return members.Find("agent-3")->worker.incarnation;
  }

  MemberList members;
};

BOOST_FIXTURE_TEST_SUITE(member_list, MemberListFixture)

BOOST_AUTO_TEST_CASE(older_member_record_is_ignored) {
  members.Take(Agent(5, "i-2"));
  BOOST_TEST(!members.Take(Agent(4, "i-1")));
  BOOST_TEST(Worker() == "i-2");
}

BOOST_AUTO_TEST_CASE(
    agent_announced_without_a_worker_keeps_the_previous_worker) {
  members.Take(Agent(5, "i-2"));
  BOOST_TEST(members.Take(Agent(6, "")));
  BOOST_TEST(Worker() == "i-2");
}

BOOST_AUTO_TEST_CASE(
    agent_announced_with_another_worker_replaces_the_previous_one) {
  members.Take(Agent(5, "i-2"));
  members.Take(Agent(6, "i-3"));
  BOOST_TEST(Worker() == "i-3");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace egretswitch::internal
