#!/usr/bin/env bash
# Guards against crashes that are overlooked because the listener of an ended worker outlives its connections, as on a busy machine.
exec python3 "$(dirname "$0")/crashing_prompts.py" --build "$1" --listener-time 0.2
