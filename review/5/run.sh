#!/bin/sh
# A configuration with a queue of a high priority number. Needs review/build.sh.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review/review-standin ] || { echo "run review/build.sh first"; exit 2; }
exec target/review/review-standin priority-band "$here/record.txt"
