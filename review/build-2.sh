#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the deployed program: the names and documents of the platform, which their stand-ins take from
# platform/ and platform/standin. The stand-ins themselves need no build.
set -e
cd "$(dirname "$0")/.."
if [ ! -f target/start.cjs ]; then
  build=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
  sh -c "$build"
fi
npx --no-install tsc -b platform/standin
for module in review/lib-2/*.mjs review/[0-9]*/*.mjs; do
  [ ! -f "$module" ] || node --check "$module"
done
