#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/standin-2 ./review/standin-2
go build -tags review -o target/standin-3 ./review/standin-3
