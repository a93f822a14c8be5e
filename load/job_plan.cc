#include "job_plan.h"

#include <span>

namespace egretswitch::load {
namespace {

// One task in this many runs for several seconds.
constexpr int kLongTaskOneIn = 400;
constexpr uint32_t kLongTaskMs = 3000;
constexpr int kWorkSamples = 4000;

// Shares add up to 1 in each mix.
constexpr KindShape kOrderDesk[] = {
    {"stock_check", true, 0.50, 1, 4, 50, 200},
    {"pricing", true, 0.28, 2, 16, 50, 300},
    {"reservation", false, 0.20, 1, 1, 80, 300},
    {"mill_order", true, 0.02, 60, 200, 50, 150},
};
constexpr KindShape kListings[] = {
    {"price_refresh", true, 0.45, 4, 30, 50, 200},
    {"photo_set", true, 0.20, 1, 8, 200, 1000},
    {"saved_search_alert", false, 0.35, 1, 6, 50, 150},
};
constexpr KindShape kOrderDeskBurst = {"mill_order", true, 1, 200, 790, 50, 80};
constexpr KindShape kListingsBurst = {
    "saved_search_alert", false, 1, 40, 120, 50, 100};

std::span<const KindShape> MixOf(Profile profile) {
  if (profile == Profile::kListings) {
    return kListings;
  }
  return kOrderDesk;
}

}  // namespace

bool ParseProfile(std::string_view name, Profile* profile) {
  if (name == "order_desk") {
    *profile = Profile::kOrderDesk;
  } else if (name == "listings") {
    *profile = Profile::kListings;
  } else if (name == "no_op") {
    *profile = Profile::kNoOp;
  } else {
    return false;
  }
  return true;
}

JobPlan::JobPlan(Profile profile, uint64_t seed, uint32_t no_op_tasks)
    : m_profile(profile), m_no_op_tasks(no_op_tasks), m_random(seed) {}

PlannedJob JobPlan::Draw(const KindShape& shape) {
  std::uniform_int_distribution<uint32_t> tasks(shape.min_tasks,
                                                shape.max_tasks);
  std::uniform_int_distribution<uint32_t> run_ms(shape.min_run_ms,
                                                 shape.max_run_ms);
  std::uniform_int_distribution<int> one_in(1, kLongTaskOneIn);
  PlannedJob job;
  job.kind = shape.kind;
  job.repeatable = shape.repeatable;
  job.run_ms.resize(tasks(m_random));
  for (uint32_t& run : job.run_ms) {
    run = one_in(m_random) == 1 ? kLongTaskMs : run_ms(m_random);
  }
  return job;
}

PlannedJob JobPlan::Next() {
  if (m_profile == Profile::kNoOp) {
    return PlannedJob{"no_op", true, std::vector<uint32_t>(m_no_op_tasks, 0)};
  }
  const auto mix = MixOf(m_profile);
  double point = std::uniform_real_distribution<double>(0, 1)(m_random);
  for (const KindShape& shape : mix) {
    if (point < shape.share) {
      return Draw(shape);
    }
    point -= shape.share;
  }
  return Draw(mix.back());
}

PlannedJob JobPlan::NextOfBurst() {
  return Draw(m_profile == Profile::kListings ? kListingsBurst
                                              : kOrderDeskBurst);
}

double JobPlan::MeanWorkMs() const {
  JobPlan sample(m_profile, 1, m_no_op_tasks);
  double total = 0;
  for (int i = 0; i < kWorkSamples; ++i) {
    for (const uint32_t run : sample.Next().run_ms) {
      total += run;
    }
  }
  return total / kWorkSamples;
}

}  // namespace egretswitch::load
