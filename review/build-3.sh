#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 11 to 15 start. It needs no network and no module but its own.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off GOFLAGS=-mod=mod CGO_ENABLED=0 go build -o ../../target/standin-3 .
