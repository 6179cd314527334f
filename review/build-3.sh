#!/usr/bin/env bash
# Builds what the scripts of the third review start besides the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -o target/review3 ./review/_standins3
