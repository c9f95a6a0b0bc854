#!/usr/bin/env bash
# Guards against guarantees that hold in virtual time but break with real processes.
exec python3 "$(dirname "$0")/../demo/faults.py" --build "$1" --only kill_in_stream --only pause_and_resume --only lost_booking_answer \
    --only lost_append --only log_outage --only withdrawn_stream
