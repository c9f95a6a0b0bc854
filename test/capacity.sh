#!/usr/bin/env bash
# Guards against a fleet-capacity program that no longer runs to its end.
exec "$1/fleet-capacity" --vms 7 --seconds 2
