#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/../.."
exec target/standin-2 same-request review/10/record.txt
