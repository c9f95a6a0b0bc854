"""Runs three relay VMs against three workers that name in their answers how many requests a second they take from all VMs together.

One worker names a limit first, then all three do. No worker may get more in any 4 s than one and a half times its limit and 5 requests, from 3 s after it
first named it; it still has to be used, and callers of what does not fit have to be refused at once, with a time after which to come back.
"""
import argparse
import socket
import sys
import threading
import time

from platform_path import HOST, RelayFleet, WorkerHandler, WorkerServer, make_configuration, wait_for, worker_entry

LIMIT = 6.2  # Requests a second.
WINDOW = 4.0  # Seconds.
SETTLE = 3.0  # Seconds from the first answer that names a limit until the rule binds.
RATE = 60  # Requests a second of all callers.
ONE_LIMITED = 10.0  # Seconds.
ALL_LIMITED = 12.0  # Seconds.
LONGEST_REFUSAL = 0.5  # Seconds. The callers' deadline is later.


class LimitedHandler(WorkerHandler):
    def do_POST(self):
        self.server.arrivals.append(time.monotonic())
        super().do_POST()

    def send_answer(self, status, body, headers=()):
        limit = self.server.limit
        super().send_answer(status, body, [*headers, ("Server-Limit", str(limit))] if limit is not None else headers)


def start_worker(name):
    server = WorkerServer((HOST, 0), LimitedHandler)
    server.name, server.stage, server.received, server.arrivals, server.limit = name, None, [], [], None
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def most_in_window(arrivals, begin, end):
    times = sorted(each for each in arrivals if begin <= each < end)
    first, most = 0, 0
    for last, when in enumerate(times):
        while when - times[first] >= WINDOW:
            first += 1
        most = max(most, last - first + 1)
    return most


def call(fleet, name, results):
    begin = time.monotonic()
    try:
        status, _, headers = fleet.request(name, "/look/1")
    except OSError as error:
        status, headers = type(error).__name__, {}
    results.append((status, time.monotonic() - begin, headers.get("Retry-After"), begin))


def send_load(fleet, seconds, results):
    threads = []
    names = sorted(fleet.relays)
    for number in range(int(seconds * RATE)):
        thread = threading.Thread(target=call, args=(fleet, names[number % len(names)], results))
        thread.start()
        threads.append(thread)
        time.sleep(1 / RATE)
    for thread in threads:
        thread.join()


def check_limit(worker, begin, end):
    allowed = 1.5 * LIMIT * WINDOW + 5
    got = most_in_window(worker.arrivals, begin + SETTLE, end)
    print(f"{worker.name}: {got} requests in {WINDOW:.0f} s, allowed {allowed:.0f}")
    assert got <= allowed, f"{worker.name} named {LIMIT} a second and got {got} requests in {WINDOW:.0f} s; allowed {allowed:.0f}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = RelayFleet(parser.parse_args().build)
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
        results = []
        send_load(fleet, 1.0, results)
        workers[0].limit = LIMIT
        begin = time.monotonic()
        send_load(fleet, ONE_LIMITED, results)
        check_limit(workers[0], begin, time.monotonic())
        refused = [each for each in results if each[0] != 200]
        assert len(refused) <= len(results) // 100, f"two workers without a limit serve: {len(refused)} of {len(results)} failed, such as {refused[:3]}"
        results = []
        for worker in workers:
            worker.limit = LIMIT
        begin = time.monotonic()
        send_load(fleet, ALL_LIMITED, results)
        end = time.monotonic()
        for worker in workers:
            check_limit(worker, begin, end)
            served = len([each for each in worker.arrivals if begin + SETTLE <= each < end])
            assert served >= 0.5 * LIMIT * (end - begin - SETTLE), f"{worker.name} takes {LIMIT} a second and got {served} in {end - begin - SETTLE:.1f} s"
        refused = [each for each in results if each[0] == 503]
        late = [each for each in refused if each[1] > LONGEST_REFUSAL and each[3] > begin + SETTLE]
        others = [each for each in results if each[0] not in (200, 503)]
        print(f"{len(results)} requests: {len(refused)} refused, {len(late)} of them late")
        assert not others, f"expected 200 or 503, got {others[:4]}"
        assert refused and all(each[2] for each in refused), "a refusal has no Retry-After"
        assert len(late) <= len(refused) // 20, f"{len(late)} of {len(refused)} refusals came later than {LONGEST_REFUSAL} s, such as {[(each[0], round(each[1], 2), round(each[3] - begin, 2)) for each in late[:4]]}"
        print("exceeded limits: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
