#!/usr/bin/env bash
# Guards against requests to workers that turn requests away for a stated time, as real processes.
exec python3 "$(dirname "$0")/leaving_endpoints.py" --build "$1" --case pauses
