#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases of the second review. It needs no network: the
# module uses the standard library only. The program itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/harness"
mkdir -p ../../target/review-2
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/review-2/harness .
