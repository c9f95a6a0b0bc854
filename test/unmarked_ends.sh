#!/usr/bin/env bash
# Guards against streams and answers that end with their worker and reach their callers as complete, as nothing but the end of the connection marks their end.
exec python3 "$(dirname "$0")/unmarked_ends.py" --build "$1"
