#!/usr/bin/env bash
# Checks format and lint of our own sources. --fix formats in place. With file names, checks only these.
set -euo pipefail
cd "$(dirname "$0")/.."
fix=""
[ "${1:-}" = --fix ] && { fix=1; shift; }
if [ $# -gt 0 ]; then files=("$@"); else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' '*.hpp' | grep -v '^proto/')
fi
if [ -n "$fix" ]; then clang-format -i "${files[@]}"; exit 0; fi
clang-format --dry-run --Werror "${files[@]}"
sources=()
for file in "${files[@]}"; do [[ $file == *.cpp ]] && sources+=("$file"); done
[ ${#sources[@]} -eq 0 ] && exit 0
printf '%s\0' "${sources[@]}" | xargs -0 -P "$(nproc)" -n 1 clang-tidy -p build --quiet --extra-arg=-Wno-unknown-warning-option 2>/tmp/mustardplank-tidy.$$ || {
  echo "lint.sh: clang-tidy has findings" >&2
  rm -f /tmp/mustardplank-tidy.$$
  exit 1
}
rm -f /tmp/mustardplank-tidy.$$
