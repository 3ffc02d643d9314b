#!/bin/sh
# Builds the stand-ins of the second review, with the standard library alone.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-standin-2 .
