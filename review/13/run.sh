#!/bin/sh
# Plays the case and writes record.txt beside this file. TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
number=$(basename "$PWD")
for program in agateswitch "review-$number"; do
	if [ ! -x "$root/target/$program" ]; then
		echo "target/$program is missing: run the build of the deploy file and review/build-2.sh"
		exit 2
	fi
done
REVIEW_ROOT="$root" exec "$root/target/review-$number"
