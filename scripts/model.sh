#!/usr/bin/env bash
# Model-checks the specifications exhaustively, and checks that each of them fails
# when one of its safeguards is removed.
set -euo pipefail
cd "$(dirname "$0")/../specs"
command -v spin >/dev/null || { echo "spin is missing: run .ci/run or install Debian's package spin" >&2; exit 1; }
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT

# check SPEC DEFINES EXPECT: EXPECT is 0 when no error may be found, 1 when one must be.
check() {
  local spec=$1 defines=$2 expect=$3
  cp "$spec" "$out/model.pml"
  (
    cd "$out"
    # shellcheck disable=SC2086
    spin -a $defines model.pml >/dev/null
    cc -O2 -DSAFETY -DCOLLAPSE -DMEMLIM=4096 -o pan pan.c 2>/dev/null
    ./pan -m100000 >result 2>&1
  )
  local errors states
  errors=$(sed -n 's/.*errors: \([0-9]*\).*/\1/p' "$out/result")
  states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$out/result")
  if grep -q 'search depth too small\|out of memory\|max search depth' "$out/result"; then
    echo "$spec $defines: the search was not exhaustive" >&2
    exit 1
  fi
  echo "$spec $defines: errors $errors, states $states"
  if { [ "$expect" = 0 ] && [ "$errors" != 0 ]; } || { [ "$expect" = 1 ] && [ "$errors" = 0 ]; }; then
    echo "expected errors: $expect" >&2
    cat "$out/result" >&2
    exit 1
  fi
}

for spec in *.pml; do
  [ -e "$spec" ] || continue
  check "$spec" "" 0
  for without in $(sed -n 's/^#ifn*def \(WITHOUT_[A-Z_]*\).*/\1/p' "$spec" | sort -u); do
    check "$spec" "-D$without" 1
  done
done
