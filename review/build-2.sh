#!/usr/bin/env bash
# Builds the stand-ins of the cases review/6 to review/10 into target/. They use the
# standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off go build -o target/review-2 review/standin-2/*.go
