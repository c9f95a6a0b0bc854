#!/usr/bin/env bash
# Guards against a kind of request or change that no longer works end to end in the lab deployment.
exec python3 "$(dirname "$0")/../demo/demo.py" --build "$1" --deployment lab
