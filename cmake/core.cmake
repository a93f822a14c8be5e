# Plain data, the fold of the control stream, and the micro-kernel.
add_library(egretswitch_core STATIC
  src/control_state.cc
  src/counters.cc
  src/internal_assert.cc
  src/ip_port.cc
  src/kernel.cc
  src/outcome.cc
  src/submission.cc)
target_link_libraries(egretswitch_core PUBLIC
  absl::time absl::status absl::statusor absl::strings absl::flat_hash_map
  absl::span PkgConfig::XXHASH)
