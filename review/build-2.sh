#!/usr/bin/env bash
# Run after the build of the deploy file, before the scripts of the cases 4 to 8. Their stand-ins in `review/kit-2` are plain
# JavaScript, so nothing has to be built; their syntax is checked.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
for file in review/kit-2/*.js review/[4-8]/*.js; do node --check "$file"; done
