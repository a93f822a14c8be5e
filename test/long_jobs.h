// Plans of long tasks beside a steady load of short ones, for RunWorld. A long
// run that is abandoned would still work when its caller sends the job again,
// and the short ones keep their entry in touch with every agent. Or beside some
// short ones that fail, in quiet times.
//
//   RunWorld world({.seed = 7, .plans = LongJobsBesideShortOnes()});
#ifndef EGRETSWITCH_TEST_LONG_JOBS_H_
#define EGRETSWITCH_TEST_LONG_JOBS_H_

#include <string>
#include <vector>

#include "run_world.h"

namespace egretswitch::internal {

struct LongJobsOptions {
  int jobs = 240;
  VirtualUs period = Ms(50);  // between two submissions
  int long_one_in = 30;
};

// Long jobs have 2 tasks of 3 s, short ones a task of 200 ms.
std::vector<JobPlan> LongJobsBesideShortOnes(
    const LongJobsOptions& options = {});

struct FailingJobsOptions {
  int rounds = 4;
  VirtualUs period = Ms(4500);  // between the beginnings of two rounds
  int long_jobs = 4;            // of each round, at its beginning
  int short_jobs = 16;          // of each round, 40 ms apart
  int failing_one_in = 2;       // of the short jobs
};

// Long jobs have a task of 3 s, short ones a task of 5 ms. No job arrives while
// the long ones of a round go on alone, so that nothing else keeps their
// entries in touch with the agents.
std::vector<JobPlan> LongJobsBesideFailingOnes(
    const FailingJobsOptions& options = {});

// The violations of the world and its faults, for the message of a check.
std::string LogOf(const RunWorld& world);

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_TEST_LONG_JOBS_H_
