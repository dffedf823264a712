#!/usr/bin/env bash
# Builds everything into build/ (or into the folder and with the CMake options given: build.sh build-tsan -DSANITIZE=thread).
set -euo pipefail
cd "$(dirname "$0")/.."
dir=${1:-build}
[ $# -gt 0 ] && shift
# Paths relative to the checkout let several checkouts share the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
cmake -S . -B "$dir" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache "$@" >"/tmp/mustardplank-cmake.$$" || { cat "/tmp/mustardplank-cmake.$$"; exit 1; }
rm -f "/tmp/mustardplank-cmake.$$"
ninja -C "$dir" ${JOBS:+-j "$JOBS"}
