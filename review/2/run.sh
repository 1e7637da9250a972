#!/bin/sh
# Runs the case from the root of the repository; see claim.txt. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/standin ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/standin departure "$here/record.txt"
