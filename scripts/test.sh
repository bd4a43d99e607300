#!/usr/bin/env bash
# Runs every test of the workspace with the race detector, never from the cache: the
# integration tests build binaries that the cache does not know of. Tests that
# KNOWN-RED.txt lists may fail; they are printed. Any other failure fails the run.
set -u
cd "$(dirname "$0")/.." || exit 1
out=$(mktemp)
trap 'rm -f "$out"' EXIT
packages=$(go list ./core/... ./daemon/... ./platform/... ./standin/...) || exit 1
# shellcheck disable=SC2086
go test -race -count=1 -timeout 20m -p 4 -skip '^TestCrowd' $packages 2>&1 | tee "$out"
status=${PIPESTATUS[0]}
# The crowds run one at a time, apart from the other tests.
go test -race -count=1 -timeout 20m -run '^TestCrowd' ./standin/integration 2>&1 | tee -a "$out"
crowds=${PIPESTATUS[0]}
[ "$status" -ne 0 ] || status=$crowds

# Closing table of the run.
printf '\n%-10s %8s %8s %10s\n' module passed failed 'no tests'
for module in core daemon platform standin; do
  printf '%-10s %8d %8d %10d\n' "$module" \
    "$(grep -oE "^ok +\\s*briarproxy/$module(/\\S*)?\\s" "$out" | sort -u | wc -l)" \
    "$(grep -oE "^FAIL\\s+briarproxy/$module(/\\S*)?\\s" "$out" | sort -u | wc -l)" \
    "$(grep -cE "^\\?\\s+briarproxy/$module/" "$out")"
done
echo "packages with the race detector; $(grep -c '^--- FAIL' "$out") failed tests"
[ "$status" -eq 0 ] && { echo "all tests passed"; exit 0; }

# A build failure, a panic or a timeout is never a known failure.
if grep -Eq '\[build failed\]|\[setup failed\]|^panic:|^fatal error:|DATA RACE|test timed out' "$out"; then
  echo "a build failure, panic, data race or timeout is never accepted"
  exit 1
fi
failed=$(grep -Eo '^--- FAIL: [^ ]+' "$out" | sed 's/^--- FAIL: //' | sort -u)
known=$(grep -Eo '^test: [^ ]+' KNOWN-RED.txt 2>/dev/null | sed 's/^test: //' | sort -u)
unexpected=$(comm -23 <(printf '%s\n' "$failed") <(printf '%s\n' "$known"))
if [ -z "$failed" ] || [ -n "$unexpected" ]; then
  echo "failures that KNOWN-RED.txt does not list:"
  printf '%s\n' "$unexpected"
  exit 1
fi
echo "accepted known failures (KNOWN-RED.txt):"
printf '%s\n' "$failed"
