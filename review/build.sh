#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts.
set -eu
cd "$(dirname "$0")/standin"
GOFLAGS=-mod=mod GOWORK=off go build -buildvcs=false -o ../bin/standin .
