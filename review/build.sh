#!/usr/bin/env bash
# The stand-ins are plain JavaScript for Node.js and need no build; this checks that each of them parses.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [0-9]/*.mjs; do node --check "$file"; done
