#!/usr/bin/env bash
# Guards against streams that are joined from two software versions, also when all VMs are killed in between: as real processes.
exec python3 "$(dirname "$0")/joined_versions.py" --build "$1"
