#!/usr/bin/env bash
# Runs the fault soak by hand: scripts/soak.sh --seeds 50 --first 100 [--seconds 12]. A run takes about 25 seconds.
# Each seed that failed is kept in test/soak/soak_test.cpp with a line on its cause.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
exec build/test/soak/soak "$@"
