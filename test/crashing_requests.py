"""Runs two relay VMs against booking workers that end when they begin to run one request, which comes again with the same path, caller and body.

Guards against faults that virtual time does not show: whether the worker that an overdue attempt was sent to is recognised as ended, and whether the
VMs tell each other what its requests have in common.
"""
import argparse
import http.client
import socket
import sys
import threading
import time

from crashing_prompts import CrashingHandler, Workers
from platform_path import HOST, RelayFleet, make_configuration, wait_for

CRASHING_PATH = "/look/crash"
RUN_TIME = 0.09  # Seconds for which the crashing request runs. It is overdue before.


class CrashingDeskHandler(CrashingHandler):
    def do_POST(self):
        if self.path != CRASHING_PATH or self.headers.get("X-Expect-Instance") != self.server.name:
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.server.fleet_of_workers.on_crashing_request()
        time.sleep(RUN_TIME)
        self.server.fleet_of_workers.crash(self.server)


class Callers:
    """Sends sound lookups and bookings, and the crashing lookup every 0.3 s, through both VMs for a time. Lookups are sent again after a failure."""

    def __init__(self, fleet):
        self.fleet, self.lock, self.count = fleet, threading.Lock(), 0
        self.sound, self.crashing = [], []

    def send(self, path, again):
        with self.lock:
            self.count += 1
            number = self.count
        try:
            status = self.fleet.request(f"vm-{1 + number % 2}", path, body=b"", X_Request_Id=f"id-{number}", X_Deadline_Ms="1000")[0]
        except (OSError, http.client.HTTPException):
            status = None
        results = self.crashing if path == CRASHING_PATH else self.sound
        results.append((time.monotonic(), status))
        if again and status == 502 and path.startswith("/look/"):
            self.send(path, False)

    def run(self, seconds, crashing):
        threads, end, number = [], time.monotonic() + seconds, 0
        while time.monotonic() < end:
            number += 1
            paths = [f"/look/{number}", f"/book/{number}"] + ([CRASHING_PATH] if crashing and number % 6 == 0 else [])
            threads += [threading.Thread(target=self.send, args=(path, True)) for path in paths]
            for thread in threads[-len(paths) :]:
                thread.start()
            time.sleep(0.05)
        for thread in threads:
            thread.join()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = RelayFleet(parser.parse_args().build)
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        configuration = make_configuration(7, ["k-1"])
        configuration["tenants"][0]["rate_per_s"] = 0
        for route in configuration["routes"]:
            route["slo_ms"] = 100
        fleet.append_to_log("keyed.op", "config", configuration)
        workers = Workers(fleet, 3, "desk", None, CrashingDeskHandler)
        fleet.start_relay("vm-1")
        fleet.start_relay("vm-2")
        for name in ("vm-1", "vm-2"):
            wait_for(f"{name} is ready", lambda name=name: fleet.is_ready(name), 4.0)
        time.sleep(1.5)
        callers = Callers(fleet)
        callers.run(1.5, False)
        assert not workers.errors, f"the stand-in of the workers failed: {workers.errors[0]}"
        assert all(status == 200 for _, status in callers.sound), [entry[1] for entry in callers.sound]
        callers.run(6.0, True)
        assert 1 <= len(workers.crashes) <= 6, f"{len(workers.crashes)} workers have ended"
        begun, settled = len(workers.crashing_requests), time.monotonic()
        callers.run(4.0, True)
        assert len(workers.crashing_requests) == begun, f"the crashing request was sent on {len(workers.crashing_requests) - begun} times"
        late = [status for at, status in callers.sound if at > settled]
        served = sum(1 for status in late if status == 200)
        assert served >= 0.95 * len(late), f"{served} of {len(late)} sound requests were served"
        refused = [status for at, status in callers.crashing if at > settled]
        assert refused and all(status == 503 for status in refused), refused
        print(f"crashing requests: ok, {len(workers.crashes)} workers ended")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
