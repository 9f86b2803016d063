#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The build of the deploy file has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/_standin
