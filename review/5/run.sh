#!/usr/bin/env bash
# Exits with 1 if ORDER was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: no router is killed.
cd "$(dirname "$0")" || exit 2
exec node case.mjs "$(cd ../.. && pwd)" "$PWD/record.txt"
