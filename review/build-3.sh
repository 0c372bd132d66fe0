#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review; run from anywhere, without a network.
# They use the standard library only, and belong to no module: CI doesn't build them.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOPROXY=off go build -o ../../target/standin-3 ./*.go
