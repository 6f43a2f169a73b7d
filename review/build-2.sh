#!/usr/bin/env bash
# Builds the stand-ins that the cases 6 and later start, into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -ldflags=-linkmode=external -o target/review-2/ ./review/stand-2

# Third independent review (cases 10 and up): one program with their stand-ins and the project's own.
(cd "$(dirname "${BASH_SOURCE[0]}")/.." && go build -o target/stand-3 ./review/stand-3)
