"""Runs three relay VMs against three workers of a service that say of themselves, in their answers, that they leave or want a pause.

First, one worker says in all its answers that it leaves, while its entry in the store stays ready: 2 s after a VM has passed on the first such answer, no
request may reach the worker from any VM, also not after an outage of the store or from a VM that starts later. The worker's next run gets requests again.
Then one worker, and at last both others too, turn requests away with 503 and Retry-After: from 0.5 s after such an answer to the end of the pause, two
requests at most may reach it from the same VM, and callers of what does not fit have to be refused at once, with a time after which to come back.
"""
import argparse
import signal
import socket
import sys
import threading
import time

from platform_path import HOST, RelayFleet, WorkerHandler, WorkerServer, make_configuration, wait_for, worker_entry

DRAIN = 2.0  # Seconds from the first answer that says so until no request may arrive.
REACTION = 0.5  # Seconds from the answer that asks for a pause until the rule binds.
MOST_IN_PAUSE = 2  # Requests from one VM.
PAUSE = 2.0  # Seconds.
RATE = 60  # Requests a second of all callers.
LONGEST_REFUSAL = 0.5  # Seconds. The callers' deadline is later.


class StatingHandler(WorkerHandler):
    def do_POST(self):
        vm = self.headers.get("X-Request-Id", "").split("/")[0]
        now = time.monotonic()
        server = self.server
        server.arrivals.append((now, vm))
        if not server.pausing:
            super().do_POST()
            return
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        with server.lock:
            pauses = server.pauses.setdefault(vm, [])
            if not pauses or now >= pauses[-1] + PAUSE:
                pauses.append(now)
            left = pauses[-1] + PAUSE - now
        super().send_answer(503, b"", [("X-Not-Run", "1"), ("Retry-After", f"{left:.3f}")])

    def send_answer(self, status, body, headers=()):
        if self.server.leaving:
            headers = [*headers, ("Server-Leaving", "1")]
            self.server.said_leaving_at = self.server.said_leaving_at or time.monotonic()
        super().send_answer(status, body, headers)


def start_worker(name):
    server = WorkerServer((HOST, 0), StatingHandler)
    server.name, server.stage, server.received, server.arrivals = name, None, [], []
    server.leaving, server.said_leaving_at = False, None
    server.pausing, server.pauses, server.lock = False, {}, threading.Lock()
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def call(fleet, name, results):
    begin = time.monotonic()
    try:
        status, _, headers = fleet.request(name, "/look/1", X_Request_Id=f"{name}/{time.monotonic_ns()}")
    except OSError as error:
        status, headers = type(error).__name__, {}
    results.append((status, time.monotonic() - begin, headers.get("Retry-After"), begin))


def send_load(fleet, seconds, results, names=None):
    threads = []
    names = names or sorted(fleet.relays)
    for number in range(int(seconds * RATE)):
        thread = threading.Thread(target=call, args=(fleet, names[number % len(names)], results))
        thread.start()
        threads.append(thread)
        time.sleep(1 / RATE)
    for thread in threads:
        thread.join()


def check_no_arrivals(worker, since, what):
    late = [(round(when - since, 2), vm) for when, vm in worker.arrivals if when > since]
    print(f"{what}: {len(late)} requests reached the worker that leaves, allowed 0")
    assert not late, f"{what}: {len(late)} requests reached {worker.name}, which had said that it leaves, such as {late[:4]}"


def check_pauses(worker):
    """Returns how many pauses the worker asked for."""
    worst = 0
    for vm, begins in worker.pauses.items():
        for begin in begins:
            worst = max(worst, len([1 for when, from_vm in worker.arrivals if from_vm == vm and begin + REACTION <= when < begin + PAUSE]))
    count = sum(len(begins) for begins in worker.pauses.values())
    print(f"{worker.name}: {count} pauses, at most {worst} requests from a VM in one, allowed {MOST_IN_PAUSE}")
    assert worst <= MOST_IN_PAUSE, f"{worker.name} asked for a pause of {PAUSE} s and got {worst} requests from one VM in it; allowed {MOST_IN_PAUSE}"
    return count


def check_served(results, what):
    failed = [each for each in results if each[0] != 200]
    assert len(failed) <= len(results) // 50, f"{what}: {len(failed)} of {len(results)} requests failed although others serve, such as {failed[:3]}"


def play_leaving(fleet, workers):
    leaving = workers[0]
    results = []
    leaving.leaving = True
    send_load(fleet, 4.0, results)
    assert leaving.said_leaving_at, f"{leaving.name} got no request"
    bound_from = leaving.said_leaving_at + DRAIN
    fleet.configure_store(mode="silent")
    send_load(fleet, 2.5, results)
    fleet.configure_store(mode="up")
    process, ports = fleet.relays["vm-3"]
    process.send_signal(signal.SIGKILL)
    process.wait()
    fleet.start_relay("vm-3", ports)
    send_load(fleet, 3.0, results, ["vm-1", "vm-2"])
    wait_for("vm-3 is ready again", lambda: fleet.is_ready("vm-3"), 6.0)
    time.sleep(DRAIN)
    send_load(fleet, 3.0, results)
    check_no_arrivals(leaving, bound_from, "the entry stays ready")
    check_served(results, "one worker leaves")
    leaving.leaving = False
    before = len(leaving.arrivals)
    fleet.append_to_log("keyed.servers", leaving.name, {**worker_entry(leaving, "desk"), "born": 2})
    time.sleep(1.0)
    send_load(fleet, 1.0, [])
    assert len(leaving.arrivals) > before, f"the next run of {leaving.name} gets no requests"


def play_pauses(fleet, workers):
    results = []
    workers[0].pausing = True
    send_load(fleet, 6.0, results)
    count = check_pauses(workers[0])
    assert count >= 3, f"{workers[0].name} asked for {count} pauses, expected one for each VM at least"
    check_served(results, "one worker pauses")
    for worker in workers:
        worker.pausing = True
    results = []
    send_load(fleet, 6.0, results)
    for worker in workers:
        check_pauses(worker)
    refused = [each for each in results if each[0] == 503]
    late = [each for each in refused if each[1] > LONGEST_REFUSAL]
    others = [each for each in results if each[0] != 503]
    print(f"all pause: {len(results)} requests, {len(refused)} refused, {len(late)} of them late")
    assert not others, f"all workers turn requests away: expected 503, got {others[:4]}"
    assert all(each[2] for each in refused), "a refusal has no Retry-After"
    assert len(late) <= len(refused) // 20, f"{len(late)} of {len(refused)} refusals came later than {LONGEST_REFUSAL} s"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--case", choices=["leaving", "pauses"], required=True)
    options = parser.parse_args()
    fleet = RelayFleet(options.build)
    workers = [start_worker(f"i-desk-{number}") for number in (1, 2, 3)]
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.append_to_log("keyed.op", "config", make_configuration(1, ["k-1"]))
        for worker in workers:
            fleet.append_to_log("keyed.servers", worker.name, worker_entry(worker, "desk"))
        for name in ("vm-1", "vm-2", "vm-3"):
            fleet.start_relay(name)
        wait_for("all VMs are ready", lambda: all(fleet.is_ready(name) for name in fleet.relays), 6.0)
        time.sleep(2.0)
        send_load(fleet, 1.0, [])
        {"leaving": play_leaving, "pauses": play_pauses}[options.case](fleet, workers)
        print(f"leaving endpoints, {options.case}: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
