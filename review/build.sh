#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts, into bin/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review1 ./review/1
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review2 ./review/2
GOOS=wasip1 GOARCH=wasm CGO_ENABLED=0 go build -buildmode=c-shared -ldflags="-s -w" -o bin/review1-rule.wasm ./review/1/rule
