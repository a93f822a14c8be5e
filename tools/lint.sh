#!/usr/bin/env bash
# Runs the linter (.clang-tidy) over every source of the build in build/.
set -euo pipefail
cd "$(dirname "$0")/.."

[ -f build/compile_commands.json ] || tools/build.sh
git ls-files '*.cc' |
  xargs -P "$(nproc)" -n 2 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2>/dev/null
