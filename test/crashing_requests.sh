#!/usr/bin/env bash
# Guards against relays that send on a request which crashes workers when it comes again: as real processes, against workers that end with their sockets.
exec python3 "$(dirname "$0")/crashing_requests.py" --build "$1"
