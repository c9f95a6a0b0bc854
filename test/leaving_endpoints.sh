#!/usr/bin/env bash
# Guards against requests to workers that say in their answers that they leave, as real processes.
exec python3 "$(dirname "$0")/leaving_endpoints.py" --build "$1" --case leaving
