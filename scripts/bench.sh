#!/usr/bin/env bash
# Benchmarks, with real processes on the loopback interface where not said otherwise. Prints name=value lines.
#   scripts/bench.sh path    latency, CPU and memory that the daemon adds (about 2 minutes)
#   scripts/bench.sh control  what an instance spends on control, at 2 to 42 instances (about 3 minutes)
#   scripts/bench.sh policy  the policies under load (about 10 minutes)
#   scripts/bench.sh decision  cost of the pool owner's decisions, messages and bytes (in one process, seconds)
#   scripts/bench.sh dispatch  cost of the decisions of mode "routes" (in one process, seconds)
#   scripts/bench.sh model [LOAD...]  named loads before a model of engines, with the daemon's decisions (seconds)
#   scripts/bench.sh k_mutex   the pool owner against permission-based k-mutual exclusion (seconds)
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/build.sh build >/dev/null
case "${1:-}" in
  decision) exec build/bench/decision/decision_bench "${@:2}" ;;
  dispatch) exec build/bench/dispatch/dispatch_bench "${@:2}" ;;
  model) exec build/bench/model/model_bench "${@:2}" ;;
  k_mutex) exec build/bench/decision/k_mutex ;;
esac
# Two sockets for each stream, in the daemon and in the load generator.
ulimit -n "$(ulimit -Hn)"
exec build/bench/load/bench-driver "${@:?path, control or policy}"
