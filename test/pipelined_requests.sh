#!/usr/bin/env bash
# Guards against requests that run with the bytes of others, or a VM that ends, when callers send requests before the answers to earlier ones.
exec python3 "$(dirname "$0")/pipelined_requests.py" --build "$1"
