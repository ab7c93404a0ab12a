#!/usr/bin/env bash
# Plays "replaced", which is no case of the review (REPORT.md), and writes
# target/replaced-nodes-record.txt. Exit codes: 1 the rule was broken, 0 it
# held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
if [ ! -x target/skylarkloomd ] || [ ! -x target/review-rig ]; then
	echo "build with the build line of deploy/system.toml and with review/build.sh first" >&2
	exit 2
fi
exec target/review-rig replaced target/skylarkloomd target/replaced-nodes-record.txt
