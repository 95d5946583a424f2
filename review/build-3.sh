#!/bin/sh
# Builds the program that plays the script cases of the third review, with its stand-ins.
# It is run in the root of the repository, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -tags review3 -o target/review-3/rig3 ./review/rig3
