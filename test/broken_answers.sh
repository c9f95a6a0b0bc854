#!/usr/bin/env bash
# Guards against a part of an answer that callers get as a whole one, and against answers without a valid status, as real processes.
exec python3 "$(dirname "$0")/broken_answers.py" --build "$1"
