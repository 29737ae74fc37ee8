#!/bin/sh
# Builds the stand-ins of the cases from 11 on.
set -eu
cd "$(dirname "$0")/standin3"
GOFLAGS=-buildvcs=false GOTOOLCHAIN=local go build -o ../../target/review-3/standin3 .
