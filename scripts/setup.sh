#!/usr/bin/env bash
# Installs what building, running and testing need and is not there yet.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null || ! command -v make >/dev/null || ! command -v cc >/dev/null; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q spin make gcc libc6-dev
fi
go mod download
