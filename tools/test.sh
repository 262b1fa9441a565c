#!/bin/sh
# Runs all tests, the concurrent packages with the race detector. Tests that
# KNOWN-RED.txt lists are run apart, printed, and do not decide the verdict.
set -eu
known=$(sed -n 's/^test: //p' "$KNOWN_RED" 2>/dev/null | paste -sd '|' -)
# The tests of internal/saturator measure the memory of processes that are saturated. They run
# after the others, and build the program without the race detector.
apart=./internal/saturator
# The large models of ./carrier take ten times as long under the race detector. They run without it.
models='^(TestHedgesShortenTheTailWithinTheLimit|TestHedgesNearCapacity|TestHedgesUseTheLimitAtManyHosts|TestDemandThatShifts)$'
packages=$(go list ./... | grep -v '/internal/saturator$')
if [ -n "$known" ]; then
	# shellcheck disable=SC2086
	go test -count=1 -race -timeout 9m -skip "^($known)\$" $packages
	go test -count=1 -timeout 9m -run "$models" -skip "^($known)\$" ./carrier
	go test -count=1 -timeout 9m -skip "^($known)\$" $apart
	echo "known red, does not decide the verdict:"
	cat "$KNOWN_RED"
	# shellcheck disable=SC2086
	go test -count=1 -run "^($known)\$" $packages || echo "known red: still failing"
	go test -count=1 -timeout 9m -run "^($known)\$" $apart || echo "known red: still failing"
else
	# shellcheck disable=SC2086
	go test -count=1 -race -timeout 9m $packages
	go test -count=1 -timeout 9m -run "$models" ./carrier
	go test -count=1 -timeout 9m $apart
fi
