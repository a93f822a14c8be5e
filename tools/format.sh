#!/usr/bin/env bash
# Formats all sources, or with --check only tells whether they are formatted.
set -euo pipefail
cd "$(dirname "$0")/.."

mapfile -t files < <(git ls-files '*.cc' '*.h')
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run --Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
