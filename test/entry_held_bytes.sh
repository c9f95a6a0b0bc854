#!/usr/bin/env bash
# Guards against entry VMs that exceed their memory by what many callers send and do not finish.
exec python3 "$(dirname "$0")/entry_held_bytes.py" --build "$1"
