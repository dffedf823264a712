#!/usr/bin/env bash
# Builds the programs of the cases of REPORT-3.md into target/review-3, after the build of the deploy file. The project's
# own stand-ins are built along.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Itest -Iinclude -Ireview/standins-3 -DBUILD_DIR="\"target\"")
sources=(
  test/routes/deployment.cpp test/routes/server_standin.cpp test/routes/store_standin.cpp test/routes/store_logs.cpp
  test/routes/false_answers.cpp test/support/child_process.cpp test/support/free_port.cpp
  test/standins/common/http_server.cpp test/standins/common/options.cpp test/standins/common/answer.cpp
  review/standins-3/small_site.cpp
)
objects=()
pids=()
for source in "${sources[@]}"; do
  object=$out/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
for program in review/standins-3/*.cpp; do
  name=$(basename "$program" .cpp)
  [ "$name" = small_site ] && continue
  g++ "${flags[@]}" "$program" "${objects[@]}" target/src/libmustardplank_base.a -lcrypto -lpthread -o "$out/$name"
done
