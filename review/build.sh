#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, from the repository's root, after the build
# of deploy/system.toml. Needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin/*.go
