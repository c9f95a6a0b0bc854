#!/usr/bin/env bash
# guards against an oracle that notices nothing
exec "$1/fleet-fuzz" --mutants --runs 300 --seed 1
