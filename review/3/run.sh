#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/standin ] && [ -x target/fescuepointd ] || { echo "build the deploy file and review/build.sh first"; exit 2; }
exec review/bin/standin -case outofstep -record review/3/record.txt
