"""Opens many connections to a relay VM with little memory, and counts the bytes that have arrived and that the VM has not read towards its memory.

The platform does the same. Guards against a VM whose process stays small while the system holds the bytes of all callers that it does not read, and against
one that reads more than it may hold. Each case has a VM of its own. While the crowd is still there, an ordinary request is answered.
"""
import argparse
import os
import resource
import socket
import sys
import threading
import time

from held_bytes import BODY_SIZE, CASES, HEAD_SIZE, Caller, Handler, ordinary_request, peak_memory_mb
from platform_path import HOST, RelayFleet, WorkerServer, make_configuration, wait_for, worker_entry

# The crowd and the bounds.
MEMORY_MB = 64
DESCRIPTORS = 1200
CALLERS = 400
SAMPLE_PAUSE_S = 0.05
SLOW_ANSWER_S = 30  # Longer than a case.


class SlowHandler(Handler):
    def do_POST(self):
        if self.server.name == "i-slow":
            time.sleep(SLOW_ANSWER_S)
        super().do_POST()


def start_worker(name):
    server = WorkerServer((HOST, 0), SlowHandler)
    server.name, server.stage, server.received = name, None, []
    server.socket.listen(512)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def pipeline_behind_an_open_request(caller):
    small = caller.head("Content-Length: 2\r\n", "/slow/1") + b"ok"
    while caller.send(small * 100):
        pass


def send_medium_body(caller):
    caller.send(caller.head("Content-Length: 60000\r\n") + b"b" * (60000 - caller.stops_short))


SENDERS = {
    **{
        case: CASES[case][0]
        for case in (
            "whole",
            "pieces",
            "large chunks",
            "tiny chunks",
            "chunks over the limit",
            "length over the limit",
            "kept connections",
            "pipelined",
            "slow readers",
        )
    },
    "pipelined behind an open request": pipeline_behind_an_open_request,
    "medium bodies": send_medium_body,
}


class MemoryWatch:
    """Samples the memory of a process together with what its sockets hold unread, and its open descriptors."""

    def __init__(self, pid, port):
        self.pid, self.port, self.peak_mb, self.unread_mb, self.descriptors, self.ended = pid, port, 0.0, 0.0, 0, False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def resident_bytes(self):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as status:
            return next(int(line.split()[1]) for line in status if line.startswith("VmRSS")) * 1024

    def sockets(self):
        """Returns the numbers of the open descriptors and the inodes of the sockets among them."""
        folder = f"/proc/{self.pid}/fd"
        names, inodes = os.listdir(folder), set()
        for name in names:
            try:
                target = os.readlink(f"{folder}/{name}")
            except OSError:
                continue
            if target.startswith("socket:["):
                inodes.add(target[8:-1])
        return len(names), inodes

    def unread_bytes(self, inodes):
        """A connection that has not been accepted has no inode yet."""
        listening, total = f":{self.port:04X}", 0
        with open("/proc/net/tcp", encoding="ascii") as table:
            next(table)
            for line in table:
                fields = line.split()
                is_listener = fields[3] == "0A"
                if not is_listener and (fields[9] in inodes or (fields[9] == "0" and fields[1].endswith(listening))):
                    total += int(fields[4].split(":")[1], 16)
        return total

    def run(self):
        while not self.ended:
            try:
                count, inodes = self.sockets()
                unread = self.unread_bytes(inodes)
                total = self.resident_bytes() + unread
            except (OSError, StopIteration):
                return
            self.descriptors = max(self.descriptors, count)
            if total / 1e6 > self.peak_mb:
                self.peak_mb, self.unread_mb = total / 1e6, unread / 1e6
            time.sleep(SAMPLE_PAUSE_S)


def check(fleet, number, case):
    name = f"vm-{number}"
    fleet.start_relay(name, settings=f"memory_mb: {MEMORY_MB}\nmax_descriptors: {DESCRIPTORS}\n")
    wait_for(f"{name} is ready", lambda: fleet.is_ready(name), 15.0)
    process, ports = fleet.relays[name]
    before = peak_memory_mb(process.pid)
    watch = MemoryWatch(process.pid, ports[0])
    callers = [Caller(ports[0], each, SENDERS[case]) for each in range(CALLERS)]
    for caller in callers:
        caller.thread.start()
    for caller in callers:
        caller.thread.join()
    is_alive = process.poll() is None
    ordinary = ordinary_request(fleet, name)
    largest = peak_memory_mb(process.pid) if is_alive else 0.0
    watch.ended = True
    watch.thread.join()
    sent = sum(caller.sent for caller in callers) / 1e6
    print(
        f"{case}: {before:.0f} MB before, {sent:.0f} MB sent by {CALLERS} callers, process at most {largest:.0f} MB, with {watch.unread_mb:.0f} MB unread at most"
        f" {watch.peak_mb:.0f} of {MEMORY_MB} MB, {watch.descriptors} of {DESCRIPTORS} descriptors, ordinary {ordinary}"
    )
    sys.stdout.flush()
    for caller in callers:
        caller.close()
    process.kill()
    process.wait()
    faults = []
    if not is_alive:
        faults.append(f"{case}: the VM has ended")
    if max(largest, watch.peak_mb) > MEMORY_MB:
        faults.append(f"{case}: {max(largest, watch.peak_mb):.0f} MB, allowed {MEMORY_MB} MB")
    if watch.descriptors > DESCRIPTORS:
        faults.append(f"{case}: {watch.descriptors} descriptors, allowed {DESCRIPTORS}")
    if ordinary != 200:
        faults.append(f"{case}: an ordinary request got {ordinary}")
    return faults


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--case", action="append", choices=SENDERS, help="run only this case")
    arguments = parser.parse_args()
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(8192, limit[1]), limit[1]))
    fleet = RelayFleet(arguments.build)
    workers = [start_worker("i-desk"), start_worker("i-slow")]
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        config = make_configuration(1, ["k-1"])
        config["limits"].update(body_bytes=BODY_SIZE, header_bytes=HEAD_SIZE, idle_ms=60000)
        config["routes"].append({**config["routes"][0], "name": "slow", "path_prefix": "/slow/", "service": "slow"})
        config["services"].append({"name": "slow"})
        for route in config["routes"]:
            route.update(timeout_ms=14000)
        config["tenants"][0].update(rate_per_s=1_000_000_000, burst=1_000_000_000)
        fleet.append_to_log("keyed.op", "config", config)
        for worker, service in zip(workers, ("desk", "slow")):
            fleet.append_to_log("keyed.servers", worker.name, {**worker_entry(worker, service), "slots": 2 * CALLERS})
        faults = []
        for number, case in enumerate(arguments.case or SENDERS, 1):
            faults += check(fleet, number, case)
        assert not faults, "\n".join(faults)
        print("unread bytes: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
