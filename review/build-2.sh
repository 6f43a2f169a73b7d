#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 and later start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -ldflags=-linkmode=external -o target/review-2/ ./review/stand-2
