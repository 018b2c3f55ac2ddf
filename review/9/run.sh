#!/usr/bin/env bash
# Runs the case "restart-in-answer" and writes its record beside this script. TROUBLE=0 leaves out the disruption. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. Build first: the command of deploy/balancer.toml, then
# review/build-2.sh.
set -u
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-2/release/review-2 ] || { echo "not built: review/build-2.sh" >&2; exit 2; }
target/review-2/release/review-2 restart-in-answer "$folder/record.txt"
code=$?
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
