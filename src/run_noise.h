// A decaying distribution of the ratio of a run's time to the time that the
// other runs of its step take, tail included.
//
//   RunNoise noise;
//   noise.Add(1.1);              // a run that took a tenth longer
//   noise.AddLongerThan(1.8);    // a run that was stopped by then
//   noise.ChanceBelow(1.5)       // the share of runs below this ratio
//
// Starts from the distribution of a parent, or from a built-in one, which its
// own runs outweigh as they come in.
#ifndef EGRETSWITCH_SRC_RUN_NOISE_H_
#define EGRETSWITCH_SRC_RUN_NOISE_H_

#include <memory>
#include <vector>

namespace egretswitch::internal {

class RunNoise {
 public:
  // `parent`, if not null, must outlive this object.
  explicit RunNoise(const RunNoise* parent = nullptr);
  ~RunNoise();
  RunNoise(RunNoise&&) noexcept;
  RunNoise& operator=(RunNoise&&) noexcept;

  void Add(double ratio);
  // Counts as one run, spread over the longer ratios as they are distributed.
  void AddLongerThan(double ratio);

  double ChanceBelow(double ratio) const;

 private:
  class Impl;

  void AddWeight(double ratio, double weight);
  void Decay();
  // The share of the own runs below the ratio.
  double OwnShareBelow(double ratio) const;

  std::unique_ptr<Impl> m_impl;
  const RunNoise* m_parent;
  // Earlier runs decay by later ones weighing more.
  double m_unit = 1;
  double m_total = 0;
  mutable std::vector<double> m_below;  // of each bin; empty if outdated
};

}  // namespace egretswitch::internal

#endif  // EGRETSWITCH_SRC_RUN_NOISE_H_
