#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. With DROPS=1 all workers drop a request when its connection closes.
cd "$(dirname "$0")/../.." || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-standin -case silent -program "$PWD/target/apricotproxy" -folder "$folder" -record review/2/record.txt
