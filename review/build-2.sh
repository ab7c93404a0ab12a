#!/bin/sh
# Builds the stand-ins that the scripts of review/6 and review/7 start.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-rig-2 ./review/rig2
# The stand-ins of review/9 and review/10.
go build -o target/review-rig-3 ./review/rig3
