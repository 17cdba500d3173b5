#!/usr/bin/env bash
# Runs the case; claim.txt says what it shows. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/review-2 8 review/8/record.txt
