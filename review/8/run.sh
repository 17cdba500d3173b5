#!/usr/bin/env bash
# Runs the case; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
for program in target/auburnnotch target/review-2; do
  if [ ! -x "$program" ]; then
    echo "$program is missing: build with the line in deploy/system.toml and review/build-2.sh" >&2
    exit 2
  fi
done
exec target/review-2 8 review/8/record.txt
