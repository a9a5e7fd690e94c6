#!/bin/sh
# The stand-ins of the cases are plain JavaScript modules: nothing is compiled,
# only their syntax is checked.
set -e
cd "$(dirname "$0")"
for file in standins/*.mjs [1-9]/*.mjs; do
  node --check "$file"
done
