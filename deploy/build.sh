#!/bin/sh
# Builds the gateway into one file, target/gateway.mjs.
set -e
[ -d node_modules/esbuild ] || npm ci --silent
npx tsc -b platform
npx esbuild platform/dist/src/main.js --bundle --platform=node --format=esm \
  --target=node20 --outfile=target/gateway.mjs --log-level=warning --minify-syntax \
  --banner:js='import { createRequire } from "node:module"; const require = createRequire(import.meta.url);'
