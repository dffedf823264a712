#!/usr/bin/env bash
# Installs, builds and runs the tests.
#   scripts/test.sh                       all tests but those in KNOWN-RED.txt, which it prints
#   scripts/test.sh --unit                only the test program of each library
#   scripts/test.sh --proof NAME          one integration test
#   scripts/test.sh --explore COUNT SEED  seeded exploration of the agreement code
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build
# Lines "test: NAME" name the tests that fail because of a known fault.
known=$(sed -n 's/^test: *//p' KNOWN-RED.txt | paste -sd '|')
if grep -qv "^#" KNOWN-RED.txt; then
  echo "known faults; tests among them are not run:"
  grep -v '^#' KNOWN-RED.txt
fi
skip=(-E "^(${known:-none})\$")
case "${1:-}" in
  --unit) exec ctest --test-dir build --output-on-failure -LE 'proof|explore' "${skip[@]}" -j 4 ;;
  --proof) exec ctest --test-dir build --output-on-failure -R "^proof_${2:?name of a proof}\$" ;;
  --explore) exec build/bench/explore/explore "${2:?count}" "${3:?seed}" ;;
  "") exec ctest --test-dir build --output-on-failure "${skip[@]}" -j 4 ;;
  *) echo "test.sh: unknown option $1" >&2; exit 2 ;;
esac
