#!/usr/bin/env bash
# The stand-ins are plain programs for Node and need no bundle; this checks that they can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
