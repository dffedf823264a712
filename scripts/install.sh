#!/usr/bin/env bash
# Installs what the build and the tests need on Debian 12. Does nothing when all packages are there.
set -euo pipefail

packages="g++ cmake ninja-build ccache lld clang-format clang-tidy
libboost1.81-all-dev libwebsocketpp-dev nlohmann-json3-dev liblog4cplus-dev prometheus-cpp-dev
libgrpc++-dev libprotobuf-dev protobuf-compiler protobuf-compiler-grpc libssl-dev zlib1g-dev curl ca-certificates make"
# scripts/check_machines.sh compiles for the other machine, too.
case "$(dpkg --print-architecture)" in
  arm64) packages="$packages g++-x86-64-linux-gnu" ;;
  amd64) packages="$packages g++-aarch64-linux-gnu" ;;
esac

missing=""
for package in $packages; do
  dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing="$missing $package"
done
[ -z "$missing" ] && exit 0
sudo=""
[ "$(id -u)" = 0 ] || sudo=sudo
$sudo apt-get update -q
# shellcheck disable=SC2086
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -q --no-install-recommends $missing
