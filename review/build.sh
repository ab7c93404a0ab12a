#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The nodes are built by the build
# line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
