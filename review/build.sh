#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript modules and need no build; checks that all are there and can be read.
set -euo pipefail
cd "$(dirname "$0")"
for file in tools/*.mjs */run.mjs; do
	node --check "$file"
done
