#!/bin/sh
# Builds the stand-ins of the cases. It needs no network: they use the standard library only.
cd "$(dirname "$0")/standin" || exit 2
mkdir -p ../../target
exec go build -buildvcs=false -o ../../target/review-standin .
