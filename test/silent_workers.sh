#!/usr/bin/env bash
# Guards against streams that are cut while their worker is silent for a moment: as real processes, beside changes of the configuration.
exec python3 "$(dirname "$0")/silent_workers.py" --build "$1"
