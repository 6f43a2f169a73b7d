#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-stand ./review/stand
