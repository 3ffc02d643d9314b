#!/usr/bin/env bash
# Builds the stand-ins of all cases. The module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod go build -buildvcs=false -o ../../target/review-standin .
