#!/usr/bin/env bash
# Runs the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the entries of the other writer.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -f target/goldcrestdock.cjs ] || exit 2
exec timeout -k 2 118 node review/8/case.mjs "$here"
