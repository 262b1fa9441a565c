#!/usr/bin/env bash
# Runs the case slow-downloads of review/standin-2; TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was
# broken, 0 if it held, and 2 if the case could not run. Build first, with the line of deploy/system.toml and
# review/build-2.sh.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
[ -x target/verbenastand ] && [ -x target/standin-2 ] || { echo "not built" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/standin-2 "-trouble=$trouble" slow-downloads review/9/record.txt
