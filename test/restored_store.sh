#!/usr/bin/env bash
# Guards against relays that miss changes, or go back to older ones, after the store has come back from an older copy: real processes.
exec python3 "$(dirname "$0")/restored_store.py" --build "$1"
