#!/bin/sh
# Builds the stand-ins that the scripts of the cases start. It uses the standard library only and needs no network.
set -eu
cd "$(dirname "$0")/standins"
GOWORK=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../bin/standins .
