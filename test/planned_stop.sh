#!/usr/bin/env bash
# Guards against requests that a planned stop cuts although the grace period has time left: as real processes, with slow bodies and long streams.
exec python3 "$(dirname "$0")/planned_stop.py" --build "$1"
