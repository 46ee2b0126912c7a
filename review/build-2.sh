#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts, after the build line of deploy/service.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-4 ./review/4
go build -o target/review-5 ./review/5
go build -o target/review-6 ./review/6
go build -o target/review-7 ./review/7
