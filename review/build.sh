#!/usr/bin/env bash
# Builds the stand-ins that the scripts start; run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
npm run --silent build
