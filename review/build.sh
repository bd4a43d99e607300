#!/bin/bash
# Builds the stand-ins that the cases start: the platform's store, the advice service, workers and requesters,
# all in one program without dependencies. The program of the system is built by the deploy file's command.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../../target/review-standin .
