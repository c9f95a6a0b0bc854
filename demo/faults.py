"""Runs a deployment on loopback through faults: killed and paused VMs, log outages, rolling replacement. docs/design.md states every bound."""

import argparse
import random
import signal
import sys
import threading
import time

import deployment
from demo import API_KEYS, PATHS, SETTLE_S, Stream, auth_headers, check
from deployment import Deployment, StepError, send_request, wait_until

ORPHAN_BOUND_S = 10.0  # The engine memory of a dead VM's requests is free within this time.
WITHDRAWAL_BOUND_S = 5.0
REJOIN_BOUND_S = 20.0
PAUSE_S = 6.0  # Longer than the admission lease and the suspicion timeout.


class FaultScenarios:
    def __init__(self, fleet):
        self.fleet = fleet
        self.key = API_KEYS[fleet.name][0]
        self.second_key = API_KEYS[fleet.name][1]
        self.paths = PATHS[fleet.name]
        self.model = fleet.topology["model"]

    def publish_and_settle(self):
        result = self.fleet.publish()
        check(result.returncode == 0, result.stdout + result.stderr)
        self.fleet.wait_ready()
        time.sleep(SETTLE_S)

    def start_stream(self, vm, max_tokens, key=None):
        stream = Stream(self.fleet.http_address(vm), key or self.key, self.model, f"Report {random.random()} " * 40, max_tokens)
        stream.start()
        wait_until(lambda: stream.token_texts, 15, f"a stream through {vm} has begun")
        return stream

    def running_decodes(self):
        decode_numbers = range(1, self.fleet.topology["decode"] + 1)
        return sum(self.fleet.counters(self.fleet.decode_address(n))["running"] for n in decode_numbers)

    def booking_runs(self):
        total_runs = {}
        for number in range(1, self.fleet.topology["plain"] + 1):
            for name, runs in self.fleet.counters(self.fleet.plain_address(number))["bookings"].items():
                total_runs[name] = total_runs.get(name, 0) + runs
        return total_runs

    def send_booking(self, vm, name, timeout=15):
        headers = {**auth_headers(self.key), "Idempotency-Key": name}
        return send_request(self.fleet.http_address(vm), "POST", self.paths["booking"], {"booking": name}, headers, timeout)

    # Each of the following functions runs one scenario and returns a summary of its measurements.

    def kill_in_stream(self):
        """Kills a VM in mid-stream with SIGKILL. Its engine memory is freed and streams of other VMs continue."""
        cut_streams = [self.start_stream("vm-2", 2000) for _ in range(3)]
        unaffected = self.start_stream("vm-3", 100)
        check(self.running_decodes() >= 3, "fewer than 3 streams are decoding")
        self.fleet.send_signal("vm-2", signal.SIGKILL)
        self.fleet.wait_exit("vm-2")
        unaffected.join(30)
        check(unaffected.is_complete(), f"the stream through vm-3 is incomplete: {unaffected.error}")
        seconds = wait_until(lambda: self.running_decodes() == 0, ORPHAN_BOUND_S, "engine memory of the dead VM's requests is free")
        check(not any(stream.done for stream in cut_streams), "a stream that was cut ended with the end marker")
        self.fleet.deregister_vm("vm-2")
        self.fleet.start_vm("vm-2")
        rejoin_seconds = wait_until(lambda: self.fleet.is_healthy("vm-2"), REJOIN_BOUND_S, "the replacement of vm-2 is ready")
        return f"engine memory free {seconds:.2f} s after the other stream's end, replacement ready after {rejoin_seconds:.2f} s"

    def pause_and_resume(self):
        """Pauses a VM with SIGSTOP and SIGCONT. It admits nothing with its old permit and rejoins."""
        self.fleet.send_signal("vm-4", signal.SIGSTOP)
        time.sleep(PAUSE_S)
        self.fleet.send_signal("vm-4", signal.SIGCONT)

        def is_served():
            return send_request(self.fleet.http_address("vm-4"), "GET", self.paths["lookup"], headers=auth_headers(self.key)).status == 200

        seconds = wait_until(is_served, REJOIN_BOUND_S, "the resumed VM serves again")
        return f"paused {PAUSE_S:g} s, served again {seconds:.2f} s after SIGCONT"

    def log_outage(self):
        """Stops the log. Lookups and completions continue, keyed bookings are refused as not run, and a replaced VM catches up from a peer."""
        send_request(self.fleet.log_address, "POST", "/v1/fault", {"down_ms": 15_000})
        time.sleep(5)
        refused = self.send_booking("vm-1", "outage-booking")
        check(refused.status == 503 and refused.json()["outcome"] == "not_run",
              f"booking in the log outage: expected 503 and not_run, got {refused.status} {refused.body}")
        answered = 0
        for number in range(1, 8):
            response = send_request(self.fleet.http_address(f"vm-{number}"), "GET", self.paths["lookup"], headers=auth_headers(self.key))
            check(response.status == 200, f"lookup through vm-{number}: expected 200, got {response.status} {response.body}")
            answered += 1
        stream = self.start_stream("vm-5", 50)
        stream.join(20)
        check(stream.is_complete(), f"{stream.error}")
        time.sleep(10)

        def is_booked():
            return self.send_booking("vm-1", "outage-booking").status == 201

        seconds = wait_until(is_booked, 15, "bookings work after the outage")
        check(self.booking_runs()["outage-booking"] == 1, "the booking outage-booking did not run exactly once")
        return f"{answered} lookups and a stream served in the outage, the booking ran once {seconds:.2f} s after it"

    def lost_booking_answer(self):
        """Loses the service's response. The outcome is unknown, and no repeat runs the booking again."""
        for number in range(1, self.fleet.topology["plain"] + 1):
            send_request(self.fleet.plain_address(number), "POST", "/v1/fault", {"lose_answers": 1})
        first = self.send_booking("vm-1", "lost-answer")
        check(first.status == 504 and first.json()["outcome"] == "unknown",
              f"booking with a lost answer: expected 504 and unknown, got {first.status} {first.body}")
        repeat = self.send_booking("vm-6", "lost-answer")
        check(repeat.json().get("outcome") == "unknown", f"repeat of the booking: expected unknown, got {repeat.status} {repeat.body}")
        check(self.booking_runs()["lost-answer"] == 1, f"the booking lost-answer ran {self.booking_runs()['lost-answer']} times, expected 1")
        for number in range(1, self.fleet.topology["plain"] + 1):
            send_request(self.fleet.plain_address(number), "POST", "/v1/fault", {"lose_answers": 0})
        return "both callers got the outcome 'unknown', and the booking ran once"

    def lost_append(self):
        """Loses the log's answers to appends. The booking is accepted nevertheless and runs once."""
        send_request(self.fleet.log_address, "POST", "/v1/fault", {"lose_answers": 2})
        response = self.send_booking("vm-3", "lost-append", 20)
        runs = self.booking_runs().get("lost-append", 0)
        check(response.status == 201 and runs == 1,
              f"booking with lost append answers: expected 201 and 1 run, got {response.status} {response.body} and {runs} runs")
        return "the booking ran once although two append answers were lost"

    def withdrawn_stream(self):
        """Withdraws a key while its stream runs. The stream ends with a typed error and its engine memory is freed."""
        stream = self.start_stream("vm-6", 2000, self.second_key)
        for path in self.fleet.example_files().rglob("keys.yaml"):
            path.write_text(path.read_text().replace(self.second_key, "withdrawn-by-the-test"))
        start = time.monotonic()
        result = self.fleet.publish()
        check(result.returncode == 0, result.stdout + result.stderr)
        stream.join(WITHDRAWAL_BOUND_S)
        ended_seconds = time.monotonic() - start
        check(not stream.is_alive() and not stream.done, "the stream of a withdrawn key did not end, or ended with the end marker")
        check("key_withdrawn" in str(stream.error), f"{stream.error}")
        wait_until(lambda: self.running_decodes() == 0, WITHDRAWAL_BOUND_S, "engine memory of the withdrawn key's stream is free")
        return f"ended with key_withdrawn {ended_seconds:.2f} s after publishing began, memory free {time.monotonic() - start:.2f} s"

    def rolling_replacement(self):
        """Replaces every VM under load. No request is cut."""
        stop = threading.Event()
        failures = []
        counts = {"streams": 0, "lookups": 0}
        leaving = set()

        def send_load(number):
            while not stop.is_set():
                vm = random.choice([name for name in self.fleet.vms if name not in leaving])
                try:
                    if number % 2 == 0:
                        stream = Stream(self.fleet.http_address(vm), self.key, self.model, f"w{number} {random.random()}", 40)
                        stream.run()
                        counts["streams"] += 1
                        if not stream.is_complete():
                            failures.append(f"stream through {vm}: error {stream.error}, {len(stream.token_texts)} of 40 tokens")
                    else:
                        response = send_request(self.fleet.http_address(vm), "GET", self.paths["lookup"], headers=auth_headers(self.key))
                        counts["lookups"] += 1
                        if response.status != 200:
                            failures.append(f"lookup through {vm}: expected 200, got {response.status} {response.body}")
                except OSError as error:
                    failures.append(f"{vm}: {error!r}")
                # The three threads that send lookups stay well within the account's rate of 50/s.
                time.sleep(0.1)

        threads = [threading.Thread(target=send_load, args=(number,), daemon=True) for number in range(6)]
        for thread in threads:
            thread.start()
        for vm in list(self.fleet.vms):
            # The balancer stops sending new connections before the VM is told to end.
            leaving.add(vm)
            time.sleep(0.5)
            self.fleet.send_signal(vm, signal.SIGTERM)
            code = self.fleet.wait_exit(vm)
            check(code == 0, f"{vm} exited with code {code}, expected 0")
            self.fleet.start_vm(vm)
            wait_until(lambda vm=vm: self.fleet.is_healthy(vm), REJOIN_BOUND_S, f"{vm} is ready again")
            leaving.discard(vm)
        stop.set()
        for thread in threads:
            thread.join(30)
        check(not failures, f"{len(failures)} requests were cut or refused, the first are {failures[:3]}")
        return f"7 VMs replaced, {counts['streams']} streams and {counts['lookups']} lookups, none cut"


SCENARIOS = [
    "kill_in_stream",
    "pause_and_resume",
    "lost_booking_answer",
    "lost_append",
    "log_outage",
    "rolling_replacement",
    "withdrawn_stream",
]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", choices=sorted(deployment.TOPOLOGIES), default="press")
    parser.add_argument("--only", choices=SCENARIOS, action="append")
    parser.add_argument("--verbose", action="store_true", help="keep the processes' logs")
    options = parser.parse_args()
    failed = 0
    with Deployment(options.build, options.deployment, deployment.slot_from_environment(), options.verbose) as fleet:
        if options.verbose:
            print(f"logs in {fleet.folder}")
        scenarios = FaultScenarios(fleet)
        scenarios.publish_and_settle()
        for name in options.only or SCENARIOS:
            try:
                print(f"ok      {name}: {getattr(scenarios, name)()}", flush=True)
            except StepError as failure:
                failed += 1
                print(f"FAILED  {name}: {failure}", flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
