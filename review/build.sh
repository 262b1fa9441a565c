#!/usr/bin/env bash
# Builds the stand-ins of the review into target/.
set -eu
top=$(cd "$(dirname "$0")/.." && pwd)
cd "$top/review/standin"
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o "$top/target/review-standin" .
