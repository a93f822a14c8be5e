// Short jobs at every entry, as on any day, until the end of its life.
#ifndef EGRETSWITCH_REVIEW_SCENE_2_TRAFFIC_H_
#define EGRETSWITCH_REVIEW_SCENE_2_TRAFFIC_H_

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

#include "deployment.h"
#include "record.h"

namespace egretswitch::review {

// Jobs of the scenes have numbers from here on.
inline constexpr uint32_t kFirstJobOfScenes = 900'000;

class Traffic {
 public:
  Traffic(Deployment& deployment, Record& record);
  ~Traffic();
  Traffic(const Traffic&) = delete;
  Traffic& operator=(const Traffic&) = delete;

 private:
  void SubmitJobs(uint32_t caller, const Process& entry);

  Record& m_record;
  std::atomic<bool> m_ended = false;
  std::vector<std::thread> m_threads;
};

}  // namespace egretswitch::review

#endif  // EGRETSWITCH_REVIEW_SCENE_2_TRAFFIC_H_
