#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start. The project's own programs come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/standin2 ./review/_standin2
