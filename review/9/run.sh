#!/bin/sh
# See claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
test -x target/review-2/secondrollout || { echo "run the build of the deploy file and review/build-2.sh first"; exit 2; }
exec timeout -k 5 110 target/review-2/secondrollout -record review/9/record.txt "$@"
