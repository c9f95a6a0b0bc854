"""Opens many connections to an entry VM which hold as many bytes as they can, and measures its memory, with what it has not read, and its descriptors.

Guards against an entry VM that the platform ends, with the requests of all its callers, as the requests of a crowd take more memory than its machine has. Each
case has a VM of its own. While the crowd is still there, an ordinary request is answered.
"""
import argparse
import json
import os
import resource
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "demo"))

from deployment import Deployment, send_request, wait_until
from held_bytes import BODY_SIZE, CASES, Caller, peak_memory_mb
from unread_bytes import MemoryWatch, send_medium_body

# The crowd and the bounds. MEMORY_MB is the aim for a VM in docs/design.md.
MEMORY_MB = 128
DESCRIPTORS = 1000
CALLERS = 120
KEY = "press-key-hillside"
ORDINARY_KEY = "press-key-valley"  # The crowd uses up the limit of its own account.
ANSWERED = 201
PATH = "/rota/bookings"
ORDINARY_TIME_S = 30
SENDERS = {
    **{
        case: CASES[case][0]
        for case in ("whole", "pieces", "large chunks", "tiny chunks", "chunks over the limit", "length over the limit", "kept connections", "pipelined")
    },
    "medium bodies": send_medium_body,
}


class EntryCaller(Caller):
    def head(self, fields, path=PATH):
        return f"POST {PATH} HTTP/1.1\r\nHost: press\r\nAuthorization: Bearer {KEY}\r\nContent-Type: application/json\r\n{fields}\r\n".encode()


def ordinary_request(fleet):
    booking = json.dumps({"booking": "ordinary"})
    try:
        headers = {"Authorization": f"Bearer {ORDINARY_KEY}", "Content-Type": "application/json"}
        return send_request(fleet.http_address("vm-1"), "POST", PATH, booking, headers, ORDINARY_TIME_S).status
    except OSError as error:
        return type(error).__name__


def start(slot, build):
    fleet = Deployment(build, slot=slot)
    fleet.topology = {**fleet.topology, "vms": {"reykjanes-a": 1}, "prefill": 1, "decode": 1}
    return fleet


def check(build, slot, case):
    with start(slot, build) as fleet:
        published = fleet.publish()
        assert published.returncode == 0, published.stderr
        fleet.wait_ready()
        wait_until(lambda: ordinary_request(fleet) == ANSWERED, 20.0, "the service is published and the limit of its account has filled")
        process = fleet.processes["vm-1"]
        host, port = fleet.http_address("vm-1").rsplit(":", 1)
        before = peak_memory_mb(process.pid)
        watch = MemoryWatch(process.pid, int(port))
        callers = [EntryCaller(int(port), each, SENDERS[case], host) for each in range(CALLERS)]
        for caller in callers:
            caller.thread.start()
        for caller in callers:
            caller.thread.join()
        is_alive = process.poll() is None
        ordinary = ordinary_request(fleet)
        largest = peak_memory_mb(process.pid) if is_alive else 0.0
        watch.ended = True
        watch.thread.join()
        for caller in callers:
            caller.close()
    print(
        f"{case}: {before:.0f} MB before, process at most {largest:.0f} MB, with {watch.unread_mb:.0f} MB unread at most {watch.peak_mb:.0f} of {MEMORY_MB} MB,"
        f" {watch.descriptors} of {DESCRIPTORS} descriptors, ordinary {ordinary}"
    )
    sys.stdout.flush()
    faults = []
    if not is_alive:
        faults.append(f"{case}: the VM has ended")
    if max(largest, watch.peak_mb) > MEMORY_MB:
        faults.append(f"{case}: {max(largest, watch.peak_mb):.0f} MB, allowed {MEMORY_MB} MB")
    if watch.descriptors > DESCRIPTORS:
        faults.append(f"{case}: {watch.descriptors} descriptors, allowed {DESCRIPTORS}")
    if ordinary != ANSWERED:
        faults.append(f"{case}: an ordinary request got {ordinary}")
    return faults


def check_single(build, slot):
    """Guards against a budget that refuses one request within the limits."""
    with start(slot, build) as fleet:
        assert fleet.publish().returncode == 0
        fleet.wait_ready()
        wait_until(lambda: ordinary_request(fleet) == ANSWERED, 20.0, "the service is published and the limit of its account has filled")
        head, tail = b'{"booking":"large","note":"', b'"}'
        body = head + b"n" * (BODY_SIZE - len(head) - len(tail)) + tail
        headers = {"Authorization": f"Bearer {ORDINARY_KEY}", "Content-Type": "application/json"}
        status = 429
        for _ in range(20):
            if status != 429:
                break
            time.sleep(1.0)  # The limit of the account fills again.
            status = send_request(fleet.http_address("vm-1"), "POST", PATH, body, headers, ORDINARY_TIME_S).status
        peak = peak_memory_mb(fleet.processes["vm-1"].pid)
    print(f"one request of {len(body)} bytes: status {status}, at most {peak:.0f} of {MEMORY_MB} MB")
    assert status == ANSWERED and peak <= MEMORY_MB, (status, peak)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--case", action="append", choices=SENDERS, help="run only this case")
    arguments = parser.parse_args()
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, limit[1]), limit[1]))
    if not arguments.case:
        check_single(arguments.build, 60)
    faults = []
    for number, case in enumerate(arguments.case or SENDERS, 1):
        faults += check(arguments.build, 60 + number, case)
    assert not faults, "\n".join(faults)
    print("entry held bytes: ok")


if __name__ == "__main__":
    sys.exit(main())
