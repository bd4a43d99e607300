#!/usr/bin/env bash
# Runs the benchmarks of placement and a load run with real processes, prints their
# tables and writes bench.json. Expects the programs of `make build`.
set -eu
cd "$(dirname "$0")/.."
reports=$(mktemp -d)
trap 'rm -rf "$reports"' EXIT
bin/bench decisions --json "$reports/decisions.json"
bin/bench packing --json "$reports/packing.json"
bin/load --lasting 3s --json bench.json --include "$reports/decisions.json" --include "$reports/packing.json"
