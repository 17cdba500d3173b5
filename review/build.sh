#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The project's own programs are those of the
# build line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review ./review/tool
