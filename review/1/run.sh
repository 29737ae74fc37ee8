#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the stop.
cd "$(dirname "$0")/../.." || exit 2
if ! [ -x target/egretflow ] || ! [ -x target/review-standin ]; then
	echo "run the build of deploy/system.toml and review/build.sh first"
	exit 2
fi
export TROUBLE="${TROUBLE:-1}"
exec target/review-standin stop review/1/record.txt
