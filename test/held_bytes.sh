#!/usr/bin/env bash
# Guards against a VM that runs out of memory or descriptors while many callers send large bodies, or read slowly, and stay open: as real processes.
exec python3 "$(dirname "$0")/held_bytes.py" --build "$@"
