#!/usr/bin/env bash
# Builds every stand-in that a script of the review starts, into bin/. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
for n in 1 2 3; do
  CGO_ENABLED=1 go build -ldflags=-linkmode=external -o "bin/review$n" "./review/$n"
done
GOOS=wasip1 GOARCH=wasm CGO_ENABLED=0 go build -buildmode=c-shared -ldflags="-s -w" -o bin/review2-rule.wasm ./review/2/rule
