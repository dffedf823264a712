#!/usr/bin/env bash
# Builds what the scripts of review/N start, the project's own stand-ins too, into target/review. Needs the build of the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wno-restrict -Wall -Wextra -Iinclude -Itest -Ireview)
shared=(review/standins/small_deployment.cpp test/routes/store_standin.cpp test/routes/store_logs.cpp
  test/standins/common/http_server.cpp test/support/child_process.cpp test/support/free_port.cpp)
jobs=()
compile() { # SOURCE OBJECT
  g++ "${flags[@]}" -c "$1" -o "$2" &
  jobs+=($!)
}
objects=()
for source in "${shared[@]}"; do
  object=$out/$(basename "$source" .cpp).o
  objects+=("$object")
  compile "$source" "$object"
done
mains=()
for source in review/[1-5]/*.cpp; do
  [ -e "$source" ] || continue
  mains+=("$source")
  compile "$source" "$out/$(basename "$source" .cpp).main.o"
done
for job in "${jobs[@]}"; do wait "$job"; done
for source in "${mains[@]}"; do
  name=$(basename "$source" .cpp)
  g++ "$out/$name.main.o" "${objects[@]}" target/src/libmustardplank_base.a -lpthread -lcrypto -o "$out/$name"
done
