#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, into target/. It needs nothing
# that the build of deploy/system.toml does not need.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/stand2"
GOWORK=off go build -trimpath -o ../../target/review-stand2 .
