#!/bin/sh
# The stand-ins of the cases 6 and on are plain modules for Node.js with no packages: nothing is compiled, only checked.
set -eu
cd "$(dirname "$0")"
for file in harness/*.mjs [0-9]*/case.mjs; do
	node --check "$file"
done
