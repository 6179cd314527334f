#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/flamingohaven ] && [ -x target/review-2/standins ] || exit 2
CASE=stopping RECORD=review/7/record.txt target/review-2/standins
