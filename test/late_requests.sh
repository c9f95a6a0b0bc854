#!/usr/bin/env bash
# Guards against requests that reach a stopping VM late, are passed on, and end without an answer: every way in which they reach it, short and long work.
exec python3 "$(dirname "$0")/late_requests.py" --build "$1"
