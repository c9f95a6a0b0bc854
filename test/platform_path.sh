#!/usr/bin/env bash
# guards against a relay that serves in unit tests only: real processes against the stand-in of the platform's store
exec python3 "$(dirname "$0")/platform_path.py" --build "$1"
