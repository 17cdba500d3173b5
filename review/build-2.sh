#!/usr/bin/env bash
# Builds the stand-ins that the scripted cases of the second review start: all of them run in
# one program. The entry nodes are those of the build line in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/tool2
