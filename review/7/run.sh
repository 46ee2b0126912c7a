#!/usr/bin/env bash
# Plays case 7; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. Needs the build of deploy/service.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/swiftledge ] || [ ! -x target/review-7 ]; then
  echo "not built: run the build line of deploy/service.toml and review/build-2.sh"
  exit 2
fi
exec target/review-7
