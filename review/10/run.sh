#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out. Build first: the build line of deploy/system.toml, review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/apricotproxy ] && [ -x target/review/10 ] || { echo "build first" >&2; exit 2; }
exec target/review/10
