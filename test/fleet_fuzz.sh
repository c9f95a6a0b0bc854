#!/usr/bin/env bash
# Guards against fault sequences that break a guarantee of the fleet. The seed fixes the sequences.
exec "$1/fleet-fuzz" --runs 300 --seed 1 --no-shrink
