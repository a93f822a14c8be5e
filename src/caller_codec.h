// Interface that translates the requests and answers of callers whose jobs are
// made of steps, independent of the protocol; implemented by the platform's
// adapter.
#ifndef EGRETSWITCH_SRC_CALLER_CODEC_H_
#define EGRETSWITCH_SRC_CALLER_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "absl/time/time.h"
#include "http_server.h"
#include "run_events.h"
#include "step_job.h"

namespace egretswitch::internal {

enum class CallerVerb : uint8_t {
  kSubmit = 0,  // a job
  kShow,        // a job's state, or a queue's count of waiting jobs
  kCancel,      // a job
  kOther,
};

struct CallerRequest {
  CallerVerb verb = CallerVerb::kOther;
  std::string host;  // without a port
  absl::Duration caller_timeout =
      absl::InfiniteDuration();  // until the caller gives up
};

class CallerCodec {
 public:
  virtual ~CallerCodec() = default;

  // The headers that Classify() reads.
  virtual std::vector<std::string> WantedHeaders() const = 0;
  virtual CallerRequest Classify(const HttpRequest& request) const = 0;

  // An error is the caller's fault and names the invalid field.
  virtual absl::StatusOr<StepJob> DecodeJob(std::string_view id,
                                            std::string_view body) const = 0;
  // Whether a job can have this id.
  virtual bool IsJobId(std::string_view id) const = 0;
  virtual HttpResponse Encode(const JobAnswer& answer) const = 0;
  virtual HttpResponse EncodeCancel(CancelVerdict verdict) const = 0;
  virtual HttpResponse EncodeWaitingCount(uint64_t count) const = 0;
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_CALLER_CODEC_H_
