#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, from the repository's root, after the build
# of deploy/system.toml. Needs the standard library only. They are a test program (go test
# -c), since only tests may hold the platform's names outside platform/.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review-standin ./review/standin/*_test.go
