#!/bin/sh
# Bundles the gateway into a single file, target/gateway.mjs. This doesn't check
# types or run tests; `npm run verify` does.
set -e
[ -d node_modules/esbuild ] || npm ci --silent
for name in gateway kernel model placement ranges routing; do
  aliases="$aliases --alias:@jaytiller/$name=./packages/$name/src/mod.ts"
done
npx esbuild platform/src/main.ts --bundle --platform=node --format=esm \
  --target=node20 --outfile=target/gateway.mjs --log-level=warning \
  --minify-syntax $aliases \
  --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'
