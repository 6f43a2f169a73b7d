#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/mustardnotch ] && [ -x target/review-stand ] || exit 2
exec target/review-stand late-call review/3/record.txt
