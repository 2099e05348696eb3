#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 8 start. They are no module: they use the standard library only, and
# the build needs no network.
set -eu
cd "$(dirname "$0")/second"
mkdir -p ../../target
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../../target/review-second ./*.go
