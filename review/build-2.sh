#!/usr/bin/env bash
# The stand-ins of the cases 4 to 8 are plain modules of Node.js, which need no build: only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for module in stand-ins-2/*.mjs 4/check.mjs 5/check.mjs 6/check.mjs 7/check.mjs 8/check.mjs; do
  [ ! -f "$module" ] || node --check "$module"
done
