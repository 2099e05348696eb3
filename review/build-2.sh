#!/bin/sh
# Builds the stand-ins of the second review's scripts into target/. It needs the Go toolchain and nothing from a network.
set -e
cd "$(dirname "$0")/second"
mkdir -p ../../target
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o ../../target/review-second .
