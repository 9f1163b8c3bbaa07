#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -eu
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
go build -buildvcs=false -o ../../target/review-2/standin2 .
