#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the deployed program. Their stand-ins are plain modules of Node.js without dependencies, so that
# only the deployed program has to be there.
set -e
cd "$(dirname "$0")/.."
if [ ! -f target/start.cjs ]; then
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
  sh -c "$build"
fi
for module in review/lib-2/*.mjs review/[0-9]*/*.mjs; do
  [ ! -f "$module" ] || node --check "$module"
done
