#!/usr/bin/env bash
# Runs a test beyond the three cases: exit status 1 if the rule was broken, 0 if it held, 2 if the test could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/swiftledge ] || [ ! -x target/review-cases ]; then
  echo "build first: the line of deploy/service.toml, then review/build.sh" >&2
  exit 2
fi
exec target/review-cases many-tasks review/further/many-tasks.record.txt
