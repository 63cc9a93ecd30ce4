#!/usr/bin/env bash
# Builds the program that the scripts of the cases from 11 on start.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
go build -buildvcs=false -o ../bin/standin-3 .
