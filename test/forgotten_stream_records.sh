#!/usr/bin/env bash
# Guards against streams that are joined from two software versions after the store has forgotten its history and all VMs were killed: as real processes.
exec python3 "$(dirname "$0")/joined_versions.py" --build "$1" --forget
