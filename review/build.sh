#!/usr/bin/env bash
# Builds the program that starts the controllers and the stand-ins of all cases.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
