#!/usr/bin/env bash
# Guards against relay VMs that exceed their memory by what they have not read, or read too fast, of the requests of many callers.
exec python3 "$(dirname "$0")/unread_bytes.py" --build "$1"
