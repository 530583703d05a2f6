#!/usr/bin/env bash
# Builds the stand-ins that the cases start; those in review/standins need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npm run build
