#!/usr/bin/env bash
# Guards against requests that are cut beside planned work while a sound worker is silent for a moment: as real processes.
exec python3 "$(dirname "$0")/silent_planned_work.py" --build "$@"
