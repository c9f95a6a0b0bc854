#!/usr/bin/env bash
# Guards against a VM that runs out of memory as many answers of workers do not end, as real processes.
exec python3 "$(dirname "$0")/endless_answers.py" --build "$1"
