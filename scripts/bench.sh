#!/usr/bin/env bash
# Benchmarks with real processes on the loopback interface. Prints name=value lines.
#   scripts/bench.sh path    latency, CPU and memory that the daemon adds (about 2 minutes)
#   scripts/bench.sh policy  the policies under load (about 10 minutes)
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
# Two sockets for each stream, in the daemon and in the load generator.
ulimit -n "$(ulimit -Hn)"
exec build/bench/load/bench-driver "${@:?path or policy}"
