#!/usr/bin/env bash
# Plays the case on the real clock, with TROUBLE=0 without the disruption. Needs the build of the deploy file and
# review/build-2.sh. Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")"
if [ ! -x ../bin/standin-2 ] || [ ! -x ../../target/fescuepointd ]; then
  echo "the build of the deploy file or review/build-2.sh has not been run" >&2
  exit 2
fi
REPOSITORY=$(cd ../.. && pwd) exec ../bin/standin-2 wall "$PWD/record.txt"
