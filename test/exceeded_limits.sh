#!/usr/bin/env bash
# Guards against workers that get more requests than the limit that they name in their answers, as real processes.
exec python3 "$(dirname "$0")/exceeded_limits.py" --build "$1"
