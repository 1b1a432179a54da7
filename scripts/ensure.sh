#!/bin/sh
# Installs the dependencies when they are missing and builds what has changed.
set -e
cd "$(dirname "$0")/.."
if [ ! -f node_modules/.package-lock.json ] || [ package-lock.json -nt node_modules/.package-lock.json ]; then
  npm ci --prefer-offline --no-audit --no-fund
  touch node_modules/.package-lock.json
fi
npx --no-install tsc -b
