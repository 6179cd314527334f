#!/bin/sh
# Builds the stand-ins that the scripts start. The programs come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go test -c -o review/bin/kit ./review/_kit
