#!/bin/sh
# Builds the project's own stand-ins, which the scripts of review/6 to review/10 start.
cd "$(dirname "$0")/.." || exit 2
exec npm run --silent build
