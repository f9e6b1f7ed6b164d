#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/review/. The daemons come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/harness ./review/harness
