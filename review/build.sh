#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. They are no module: they use the standard library only, and the
# build needs no network.
set -eu
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS= GOTOOLCHAIN=local go build -o ../bin/standins ./*.go
