#!/usr/bin/env bash
# Guards against a relay that works in unit tests but fails as a real process against the stand-in of the platform's store.
exec python3 "$(dirname "$0")/platform_path.py" --build "$1"
