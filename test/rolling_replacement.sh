#!/usr/bin/env bash
# Guards against requests that are cut or wrongly refused while every VM is replaced under load.
exec python3 "$(dirname "$0")/../demo/faults.py" --build "$1" --only rolling_replacement
