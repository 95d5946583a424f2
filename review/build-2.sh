#!/bin/sh
# Builds the stand-ins of the cases review/6 to review/10.
set -e
cd "$(dirname "$0")/.."
go build -o target/rig2 ./review/rig2
