#!/usr/bin/env bash
# Builds the stand-ins and the driver that the scripts of the review start, into target/.
# They use the standard library of Go alone.
set -euo pipefail
cd "$(dirname "$0")/rig"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/review-rig .
