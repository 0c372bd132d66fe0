#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review; run from anywhere, without a network.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -o ../../target/standin-3 .
