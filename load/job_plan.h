// Plans the jobs of a load: kinds of work, sizes and run times drawn from a
// seed, in the mixes of an order desk and of a listings catalogue.
//
//   JobPlan plan(Profile::kOrderDesk, 7);
//   PlannedJob job = plan.Next();   // kind "pricing", 12 tasks of 50 to 400 ms
#ifndef EGRETSWITCH_LOAD_JOB_PLAN_H_
#define EGRETSWITCH_LOAD_JOB_PLAN_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace egretswitch::load {

enum class Profile : uint8_t { kOrderDesk = 0, kListings, kNoOp };

// "order_desk", "listings" or "no_op"; false for another name.
bool ParseProfile(std::string_view name, Profile* profile);

struct PlannedJob {
  std::string kind;
  bool repeatable = true;
  std::vector<uint32_t> run_ms;  // true run time of each task
};

// What one kind of work looks like in a mix.
struct KindShape {
  const char* kind;
  bool repeatable;
  double share;  // of the jobs
  uint32_t min_tasks;
  uint32_t max_tasks;
  uint32_t min_run_ms;
  uint32_t max_run_ms;
};

class JobPlan {
 public:
  // `no_op_tasks`: tasks of each job in the profile kNoOp.
  JobPlan(Profile profile, uint64_t seed, uint32_t no_op_tasks = 100);

  PlannedJob Next();

  // A job of the burst that opens the season's peak: many short tasks.
  PlannedJob NextOfBurst();

  // Mean of tasks a job times run time, in ms, by sampling.
  double MeanWorkMs() const;

 private:
  PlannedJob Draw(const KindShape& shape);

  Profile m_profile;
  uint32_t m_no_op_tasks;
  std::mt19937_64 m_random;
};

}  // namespace egretswitch::load

#endif  // EGRETSWITCH_LOAD_JOB_PLAN_H_
