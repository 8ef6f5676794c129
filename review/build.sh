#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/stand"
mkdir -p ../target
GOWORK=off go build -o ../target/ ./cmd/...
