#!/usr/bin/env bash
# Builds the stand-ins of the second review into target/. It needs no network: they use the standard
# library only. The program under test is built by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -buildvcs=false -o ../../target/standin2 .
