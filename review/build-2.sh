#!/usr/bin/env bash
# The stand-ins of cases 4 to 8 are plain modules of Node: there is nothing to compile, only to check.
set -e
cd "$(dirname "$0")"
for file in standins-2/*.mjs [4-8]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
