#!/usr/bin/env bash
# Compiles the sources for x86-64 and for arm64, on a machine of either kind, in the build of the deployment (target/,
# which it builds) and in that of the tests (build/). The other machine's objects are compiled and not linked. Any
# diagnostic fails the check, also one that this machine's compiler is configured to report as a warning only.
#   scripts/check_machines.sh                    both builds
#   scripts/check_machines.sh --build DIR        a build folder that scripts/build.sh has made, for example build-tsan
#   scripts/check_machines.sh --only PATTERN     the sources whose paths match the extended regular expression
set -euo pipefail
cd "$(dirname "$0")/.."
dirs=()
only=""
while [ $# -gt 0 ]; do
  case "$1" in
    --build) dirs+=("${2:?folder}"); shift 2 ;;
    --only) only=${2:?pattern}; shift 2 ;;
    *) echo "check_machines.sh: unknown option $1" >&2; exit 2 ;;
  esac
done
if [ ${#dirs[@]} -eq 0 ]; then
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
  bash -c "${build:?no build command in deploy/system.toml}" >/dev/null
  dirs=(target build)
fi
# The headers of Boost, OpenSSL and gRPC are the same on both machines and come after those of the compiler.
case "$(uname -m)" in
  aarch64) own=arm64 other=x86-64 cross="x86_64-linux-gnu-g++ -idirafter /usr/include -idirafter /usr/include/aarch64-linux-gnu" ;;
  x86_64) own=x86-64 other=arm64 cross="aarch64-linux-gnu-g++ -idirafter /usr/include -idirafter /usr/include/x86_64-linux-gnu" ;;
  *) echo "check_machines.sh: no other machine is known for $(uname -m)" >&2; exit 2 ;;
esac
# Paths relative to the checkout let several checkouts share the compiler cache.
export CCACHE_BASEDIR=$PWD CCACHE_NOHASHDIR=1
results=$(mktemp -d)
trap 'rm -rf "$results"' EXIT

# entries DIR: directory and command of each source, separated by a tab.
entries() {
  sed -n 's/^ *"\(directory\|command\)": "\(.*\)",\{0,1\}$/\2/p' "$1/compile_commands.json" | sed 's/\\"/"/g; s/\\\\/\\/g' |
    paste - - | { grep -E "${only:-.}" || true; }
}

# compile DIR NAME [COMPILER]: prints each source that fails or has diagnostics, with them. Without COMPILER the command
# is that of the build, whose objects are found in the compiler cache.
compile() {
  local out=$results/$2 n=0 directory command object
  mkdir -p "$out"
  entries "$1" | while IFS=$'\t' read -r directory command; do
    n=$((n + 1))
    object=$(sed -E 's#.* -o ([^ ]+) .*#\1#' <<<"$command")
    [ "$directory" = "$PWD/$1" ] || object=${directory#"$PWD/$1/"}/$object
    command=$(sed -E "s# -o [^ ]+ # -MD -MT $object -MF $out/$n.d -o $out/$n.o #" <<<"${3:-${command%% *}} ${command#* }")
    printf '%s\0' "cd '$directory'; ccache $command >'$out/$n.log' 2>&1 || echo 'not compiled' >>'$out/$n.log'
      [ ! -s '$out/$n.log' ] || { echo '$2: ${command##* -c }'; cat '$out/$n.log'; }; rm -f '$out/$n.o'"
  done | xargs -0 -r -P "${JOBS:-$(nproc)}" -n 1 bash -c >"$out/findings"
  cat "$out/findings"
  echo "$2: $(find "$out" -name '*.log' | wc -l) sources, $(find "$out" -name '*.log' -size +0 | wc -l) with findings"
  [ ! -s "$out/findings" ]
}

failed=0
for dir in "${dirs[@]}"; do
  compile "$dir" "$dir-$own" || failed=1
  compile "$dir" "$dir-$other" "$cross" || failed=1
done
[ $failed = 0 ] || echo "check_machines.sh: a source does not build without diagnostics on both machines" >&2
exit $failed
