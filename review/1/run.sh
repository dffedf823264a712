#!/usr/bin/env bash
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review/truncated_stream
if ! [ -x "$program" ] || ! [ -x target/src/daemon/mustardplankd ]; then
  echo "run the build of the deploy file and review/build.sh first" >&2
  exit 2
fi
timeout -k 3 115 "$program" review/1/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
