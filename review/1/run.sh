#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
for program in target/samphireturnd target/review-stand; do
	if [ ! -x "$program" ]; then
		echo "$program is missing: build the deploy file and review/build.sh" >&2
		exit 2
	fi
done
exec timeout --kill-after=5 115 target/review-stand rollout review/1/record.txt
