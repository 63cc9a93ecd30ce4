#!/usr/bin/env bash
# Builds the program that the scripts of the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
go build -buildvcs=false -o ../bin/standin-2 .
