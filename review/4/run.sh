#!/usr/bin/env bash
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case couldn't run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x target/review-standin ] && [ -x "${run%% *}" ] || { echo "run the build of the deploy file and review/build.sh first" >&2; exit 2; }
exec target/review-standin -case drained -run "$run" -record "$here/record.txt"
