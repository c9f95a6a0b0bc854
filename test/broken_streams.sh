#!/usr/bin/env bash
# Guards against answers that break off and reach their callers as complete: real processes, each way to frame an answer, each way to break it off.
exec python3 "$(dirname "$0")/broken_streams.py" --build "$1"
