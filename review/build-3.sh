#!/usr/bin/env bash
# Builds the stand-ins of the cases review/11 and review/13 into target/standin-3. They use the
# standard library only. Their files are named as tests, since a test keeps the names of the users'
# pages out of the other sources.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
GOWORK=off GOPROXY=off go test -c -vet=off -o target/standin-3 review/standin-3/*_test.go
