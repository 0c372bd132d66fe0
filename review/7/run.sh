#!/usr/bin/env bash
# Case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/magnoliastand ] || [ ! -x target/review-2 ]; then
  echo "build first: the build line of deploy/system.toml, then review/build-2.sh"
  exit 2
fi
exec target/review-2 budget review/7/record.txt
