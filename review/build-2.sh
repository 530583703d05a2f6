#!/usr/bin/env bash
# Builds the stand-ins that the cases 4 to 8 start, those of the project among them; needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run build
