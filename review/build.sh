#!/usr/bin/env bash
# Builds the stand-ins that the cases start: the project's own one of the platform; those in review/lib need no build.
set -euo pipefail
cd "$(dirname "$0")/.."
npx --no-install tsc -b platform/standin
