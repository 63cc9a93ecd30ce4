#!/usr/bin/env bash
# Installs the packages and modules that building, running and testing need, where
# they are missing.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v spin >/dev/null || ! command -v make >/dev/null || ! command -v cc >/dev/null; then
  apt-get update -q
  DEBIAN_FRONTEND=noninteractive apt-get install -y -q spin make gcc libc6-dev
fi
go mod download
