#!/usr/bin/env bash
# Installs, builds, and runs a small installation for about half a minute: three failure domains, requests of two
# classes, a key withdrawn, a failure domain taken out. All processes end with it.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh build >/dev/null
exec build/test/demo/demo
