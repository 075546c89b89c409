#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into target/, which git ignores.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-stand ./review/stand
