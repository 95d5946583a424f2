#!/bin/sh
# Builds the stand-ins and the driver of the cases review/6 to review/9 into target/. They are
# a module of their own, outside the project's ./..., and use the standard library alone.
set -e
cd "$(dirname "$0")/rig2"
mkdir -p ../../target
GOWORK=off go build -buildvcs=false -o ../../target/rig2 .
