#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: those of
# the project under platform/test. Runs after the build of the deploy file and
# needs no network.
set -e
cd "$(dirname "$0")/.."
npx tsc -b
