#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2
exec go test -c -o target/review-2/standins ./review/_standins2
