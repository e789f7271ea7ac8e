#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review3 ] && [ -x bin/thistlequay ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
exec timeout 110 bin/review3
