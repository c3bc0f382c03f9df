#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The program itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review -o target/review-standin ./review/standin
