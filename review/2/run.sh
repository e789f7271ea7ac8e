#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x bin/review2 ] && [ -x bin/thistlequay ] || { echo "run the build of the deploy file and review/build.sh first"; exit 2; }
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
timeout --preserve-status --kill-after=4 110 bin/review2
code=$?
# The program ends what it started. Should it have ended early, what is left is ended here.
while read -r pid; do
  [ -r "/proc/$pid/cmdline" ] || continue
  if [ "$(tr '\0' ' ' < "/proc/$pid/cmdline")" = "bin/thistlequay " ]; then kill -9 "$pid"; fi
done < "$REVIEW_PIDS"
rm -f "$REVIEW_PIDS"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
