#!/usr/bin/env bash
# Builds the programs of the cases from 6 on into target/review/, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -Wall -Wextra -O1 -g1 -Wno-restrict -DBOOST_ASIO_DISABLE_AWAITABLE_FRAME_RECYCLING "-DBUILD_DIR=\"$PWD/target\"" -Iinclude -Itest)
compile() { # SOURCE -> object
  local object=$out/$(echo "${1%.cpp}" | tr / _).o
  if [ ! -e "$object" ] || [ "$1" -nt "$object" ]; then
    g++ "${flags[@]}" -I"$(dirname "$1")" -c "$1" -o "$object"
  fi
}
shared=(test/routes/{caller_crowd,deployment,server_standin,false_answers,store_standin,store_logs}.cpp test/support/{child_process,free_port}.cpp test/standins/common/*.cpp)
cases=(review/[6-9]/*.cpp review/10/*.cpp)
sources=()
for source in "${shared[@]}" "${cases[@]}"; do [ -e "$source" ] && sources+=("$source"); done
export -f compile
export out
printf '%s\0' "${sources[@]}" | FLAGS="${flags[*]}" xargs -0 -P 4 -I{} bash -c 'read -r -a flags <<<"$FLAGS"; compile "$1"' _ {}
objects() { for source in "$@"; do echo "$out/$(echo "${source%.cpp}" | tr / _).o"; done; }
mapfile -t common < <(objects "${shared[@]}")
for folder in review/[6-9] review/10; do
  [ -e "$folder/case.cpp" ] || continue
  mapfile -t own < <(objects "$folder"/*.cpp)
  g++ "${own[@]}" "${common[@]}" target/src/libmustardplank_base.a -lssl -lcrypto -lpthread -o "$out/case-$(basename "$folder")"
done
