#!/bin/sh
# Builds the stand-ins and the driver of the second review's cases. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/rig2 ./review/rig2
