#!/usr/bin/env bash
# Plays the case in the folder given. Exits with 1 if its rule was broken, 0 if it held, 2 if it could not run.
node "$1/run.mjs" &
player=$!
trap 'kill -TERM "$player" 2>/dev/null' INT TERM
wait "$player"
code=$?
if [ "$code" -gt 128 ]; then
  wait "$player"
  code=$?
fi
case "$code" in
  0) exit 0 ;;
  3) exit 1 ;;
  *) exit 2 ;;
esac
