#!/usr/bin/env bash
# The stand-ins are plain JavaScript and need no build; this checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in stand-in/*.js */check.js; do node --check "$file"; done
