#!/usr/bin/env bash
# Guards against an oracle that fails to detect the deliberately broken variants (mutants) of the code.
exec "$1/fleet-fuzz" --mutants --runs 300 --seed 1
