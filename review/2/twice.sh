#!/usr/bin/env bash
# The same fault with other additional bytes; not the case itself. Exit code 1: TWICE was broken, 0: it held, 2: it could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/lycheehill.jsa ] && [ -f target/review/CutRefusal.class ] || { echo "build with the deploy file and review/build.sh first" >&2; exit 2; }
exec timeout -s TERM 118 java -cp target/review CutRefusal "review/2"
