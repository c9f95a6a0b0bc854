#!/usr/bin/env bash
# Guards against relays that send on prompts which crash workers: as real processes, against workers that end with their sockets.
exec python3 "$(dirname "$0")/crashing_prompts.py" --build "$1"
