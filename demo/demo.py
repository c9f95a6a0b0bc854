"""Runs a whole deployment on loopback and shows each kind of request and change. The exit code is 0 only if every step succeeds."""

import argparse
import http.client
import json
import signal
import sys
import threading
import time

import deployment
from deployment import Deployment, StepError, send_request, send_request_on, wait_until

CHANGE_BOUND_S = 5.0  # A published change is in force on every VM within this time.
DRAIN_BOUND_S = 5.0  # A leaving endpoint receives no new work after this time.
# The owner VM of an account holds its rate limit about 3.2 s after the last epoch begins, and it starts with an empty bucket.
SETTLE_S = 5.0
# A repeated booking gets the outcome 'unknown' until the outcome of the first one is recorded, which takes at most this time.
OUTCOME_BOUND_S = 2.0

API_KEYS = {"press": ("press-key-hillside", "press-key-valley"), "lab": ("lab-key-parish", "lab-key-city")}
PATHS = {
    "press": {"lookup": "/rota/slots/today", "booking": "/rota/bookings", "open": "/rota/opening-hours"},
    "lab": {"lookup": "/orders/steps/today", "booking": "/orders/jobs", "open": "/orders/opening-hours"},
}


def auth_headers(key):
    return {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}


def check(condition, message):
    if not condition:
        raise StepError(message)


class Stream(threading.Thread):
    """Reads a streamed completion in the background."""

    def __init__(self, address, key, model, prompt, max_tokens, chat=False):
        super().__init__(daemon=True)
        self.address, self.key, self.model, self.prompt, self.max_tokens, self.chat = address, key, model, prompt, max_tokens, chat
        self.first_token_s = None
        self.token_texts = []
        self.finish_reason = None
        self.error = None
        self.done = False

    def run(self):
        host, port = self.address.rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=60)
        body = {"model": self.model, "max_tokens": self.max_tokens, "stream": True}
        if self.chat:
            body["messages"] = [{"role": "user", "content": self.prompt}]
        else:
            body["prompt"] = self.prompt
        start = time.monotonic()
        try:
            connection.request("POST", "/v1/chat/completions" if self.chat else "/v1/completions", json.dumps(body), auth_headers(self.key))
            response = connection.getresponse()
            if response.status != 200:
                self.error = response.read().decode(errors="replace")
                return
            for line in response:
                self.handle_line(line.decode(errors="replace").strip(), start)
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
        finally:
            connection.close()

    def handle_line(self, line, start):
        if not line.startswith("data: "):
            return
        if line == "data: [DONE]":
            self.done = True
            return
        event = json.loads(line[6:])
        if "choices" not in event:
            self.error = line[6:]
            return
        choice = event["choices"][0]
        token_text = choice.get("delta", {}).get("content") if self.chat else choice.get("text")
        if token_text:
            if self.first_token_s is None:
                self.first_token_s = time.monotonic() - start
            self.token_texts.append(token_text)
        self.finish_reason = choice.get("finish_reason") or self.finish_reason

    def is_complete(self):
        return self.done and self.error is None and len(self.token_texts) == self.max_tokens


def all_vms_have_version(fleet, service, version):
    return all(fleet.status(vm)["configuration"]["services"].get(service, {}).get("version", 0) >= version for vm in fleet.vms if vm in fleet.processes)


def newest_version(fleet, service):
    return max(fleet.status(vm)["configuration"]["services"].get(service, {}).get("version", 0) for vm in fleet.vms if vm in fleet.processes)


class Demo:
    def __init__(self, fleet):
        self.fleet = fleet
        self.key, self.second_key = API_KEYS[fleet.name]
        self.paths = PATHS[fleet.name]
        self.model = fleet.topology["model"]
        self.steps = 0

    def step(self, name, action):
        summary = action()
        self.steps += 1
        print(f"ok  {self.steps:2d}  {name}: {summary}", flush=True)

    def edit_services(self, path_part, old, new):
        for path in self.fleet.example_files().rglob("*.yaml"):
            if path_part in str(path):
                content = path.read_text()
                if old in content:
                    path.write_text(content.replace(old, new))
                    return
        raise StepError(f"{old!r} is in no example file whose path contains {path_part!r}")

    def publish_examples(self):
        result = self.fleet.publish()
        check(result.returncode == 0, result.stdout + result.stderr)
        start = time.monotonic()
        self.fleet.wait_ready()
        seconds = time.monotonic() - start
        time.sleep(SETTLE_S)
        return f"{result.stdout.count('accepted')} services accepted, all VMs ready after {seconds:.2f} s"

    def unstreamed_completion(self):
        body = {"model": self.model, "prompt": "Summarise the log. " * 200, "max_tokens": 20}
        response = send_request(self.fleet.http_address("vm-1"), "POST", "/v1/completions", body, auth_headers(self.key), timeout=30)
        check(response.status == 200, response.body)
        check(response.json()["usage"]["completion_tokens"] == 20, response.body)
        return f"20 tokens, finish reason {response.json()['choices'][0]['finish_reason']}"

    def streamed_completion(self, chat):
        vm = "vm-3" if chat else "vm-2"
        stream = Stream(self.fleet.http_address(vm), self.key, self.model, "Describe the worn step. " * 100, 30, chat)
        stream.run()
        check(stream.is_complete(), f"streamed completion through {vm}: error {stream.error}, {len(stream.token_texts)} of 30 tokens")
        return f"30 tokens through {vm}, first after {stream.first_token_s * 1000:.0f} ms"

    def lookup(self):
        response = send_request(self.fleet.http_address("vm-4"), "GET", self.paths["lookup"], headers=auth_headers(self.second_key))
        check(response.status == 200, response.body)
        return response.body

    def open_route(self):
        response = send_request(self.fleet.http_address("vm-5"), "GET", self.paths["open"])
        check(response.status == 200, response.body)
        return "answered without a key"

    def booking(self):
        headers = {**auth_headers(self.key), "Idempotency-Key": "demo-booking-1"}
        body = {"booking": "demo-booking-1"}
        first = send_request(self.fleet.http_address("vm-5"), "POST", self.paths["booking"], body, headers)
        check(first.status == 201, first.body)

        def is_recorded():
            repeat = send_request(self.fleet.http_address("vm-6"), "POST", self.paths["booking"], body, headers)
            check(repeat.status == 201 or repeat.json()["outcome"] == "unknown", repeat.body)
            return repeat.status == 201 and repeat.body == first.body

        wait_until(is_recorded, OUTCOME_BOUND_S, "a repeat gets the recorded response")
        runs = sum(self.fleet.counters(self.fleet.plain_address(n))["bookings"].get("demo-booking-1", 0) for n in range(1, 4))
        check(runs == 1, f"the booking demo-booking-1 ran {runs} times, expected 1")
        return "the repeat through another VM got the recorded response, and the service ran the booking once"

    def rejected_requests(self):
        address = self.fleet.http_address("vm-7")
        body = {"model": self.model, "prompt": "x", "max_tokens": 1}
        results = []
        for case, expected_status, response in (
            ("no key", 401, send_request(address, "POST", "/v1/completions", body)),
            ("wrong key", 401, send_request(address, "POST", "/v1/completions", body, auth_headers("nobody"))),
            ("unknown route", 404, send_request(address, "GET", "/nowhere", headers=auth_headers(self.key))),
            ("unknown model", 404, send_request(address, "POST", "/v1/completions", {**body, "model": "none"}, auth_headers(self.key))),
            ("broken JSON", 400, send_request(address, "POST", "/v1/completions", b"{", auth_headers(self.key))),
        ):
            problem = response.json()
            check(response.status == expected_status and problem["outcome"] == "not_run",
                  f"{case}: expected {expected_status} and not_run, got {response.status} {response.body}")
            results.append(f"{case} {expected_status} {problem['type'].rsplit(':', 1)[1]}")
        return ", ".join(results)

    def publish_change(self):
        service = "assistant"
        old_version = newest_version(self.fleet, service)
        self.edit_services("assistant", "fairness:", "# changed by the demo\nfairness:")
        self.edit_services("assistant", "first_token: 930ms", "first_token: 900ms")
        start = time.monotonic()
        result = self.fleet.publish(author="second-operator")
        check(result.returncode == 0, result.stdout + result.stderr)
        wait_until(lambda: all_vms_have_version(self.fleet, service, old_version + 1), CHANGE_BOUND_S, "the change is in force on every VM")
        return f"version {old_version + 1} in force on all VMs after {time.monotonic() - start:.2f} s, publishing included"

    def withdraw_key(self):
        host, port = self.fleet.http_address("vm-1").rsplit(":", 1)
        connection = http.client.HTTPConnection(host, int(port), timeout=10)
        response = send_request_on(connection, "GET", self.paths["lookup"], headers=auth_headers(self.second_key))
        check(response.status == 200, response.body)
        self.edit_services("keys.yaml", f"key: {self.second_key}", "key: replaced-by-the-demo")
        start = time.monotonic()
        result = self.fleet.publish()
        check(result.returncode == 0, result.stdout + result.stderr)

        def is_refused():
            return send_request_on(connection, "GET", self.paths["lookup"], headers=auth_headers(self.second_key)).status == 401

        wait_until(is_refused, CHANGE_BOUND_S, "the withdrawn key is refused on the open connection")
        seconds = time.monotonic() - start
        connection.close()
        return f"refused on the open connection {seconds:.2f} s after publishing began"

    def drain_endpoint(self):
        address = self.fleet.plain_address(1)
        self.edit_services("service.yaml", f"address: {address}", f"address: {address}\n    condition: leaving")
        result = self.fleet.publish()
        check(result.returncode == 0, result.stdout + result.stderr)
        time.sleep(DRAIN_BOUND_S)
        lookups_before = self.fleet.counters(address)["lookups"]
        for number in range(1, 8):
            for _ in range(3):
                response = send_request(self.fleet.http_address(f"vm-{number}"), "GET", self.paths["lookup"], headers=auth_headers(self.key))
                check(response.status in (200, 429), response.body)
        check(self.fleet.counters(address)["lookups"] == lookups_before, f"the leaving endpoint {address} received a lookup")
        return "21 lookups through 7 VMs, none to the leaving endpoint"

    def publish_conflict(self):
        base = str(newest_version(self.fleet, "assistant"))
        folders = [str(path) for path in self.fleet.example_files().iterdir() if "assistant" in path.name]
        results = []
        for replacement in ("first_token: 910ms", "first_token: 920ms"):
            current = "first_token: 900ms" if not results else "first_token: 910ms"
            self.edit_services("assistant", current, replacement)
            result = self.fleet.publish_folders(folders, "--base", base)
            results.append(result)
        check(results[0].returncode == 0 and results[1].returncode == 3, results[0].stdout + results[1].stdout + results[1].stderr)
        return "first accepted, second: " + (results[1].stdout + results[1].stderr).strip().splitlines()[-1]

    def graceful_shutdown(self):
        stream = Stream(self.fleet.http_address("vm-7"), self.key, self.model, "Long report. " * 50, 150)
        stream.start()
        wait_until(lambda: stream.token_texts, 10, "the stream has begun")
        self.fleet.send_signal("vm-7", signal.SIGTERM)
        stream.join(30)
        check(stream.is_complete(), f"stream through the leaving VM: error {stream.error}, {len(stream.token_texts)} of 150 tokens")
        code = self.fleet.wait_exit("vm-7")
        check(code == 0, f"vm-7 exited with code {code}, expected 0")
        self.fleet.deregister_vm("vm-7")
        return "the open stream received all 150 tokens, then the process exited with code 0"

    def keys_not_forwarded(self):
        endpoints = [self.fleet.prefill_address(n) for n in range(1, self.fleet.topology["prefill"] + 1)]
        endpoints += [self.fleet.decode_address(n) for n in range(1, self.fleet.topology["decode"] + 1)]
        endpoints += [self.fleet.plain_address(n) for n in range(1, self.fleet.topology["plain"] + 1)]
        request_count = sum(self.fleet.counters(address)["authorization_seen"] for address in endpoints)
        check(request_count == 0, f"endpoints received {request_count} requests with an Authorization header, expected none")
        return f"none of {len(endpoints)} endpoints received an Authorization header"

    def ctl_commands(self):
        summaries = []
        for command in ("status", "fleet", "audit"):
            result = self.fleet.run_ctl("vm-1", command)
            check(result.returncode == 0, result.stderr)
            summaries.append(f"{command} {len(result.stdout.splitlines())} lines")
        return ", ".join(summaries)

    def run(self):
        self.step("publish the example files", self.publish_examples)
        self.step("completion", self.unstreamed_completion)
        self.step("streamed completion", lambda: self.streamed_completion(False))
        self.step("streamed chat completion", lambda: self.streamed_completion(True))
        self.step("lookup", self.lookup)
        self.step("open route", self.open_route)
        self.step("repeated booking with an Idempotency-Key", self.booking)
        self.step("refusals", self.rejected_requests)
        self.step("published change", self.publish_change)
        self.step("conflicting publications of two operators", self.publish_conflict)
        self.step("withdrawn key", self.withdraw_key)
        self.step("drained endpoint", self.drain_endpoint)
        self.step("graceful shutdown", self.graceful_shutdown)
        self.step("keys are not forwarded to endpoints", self.keys_not_forwarded)
        self.step("plantainpoint-ctl", self.ctl_commands)

    def print_curl(self):
        completion = json.dumps({"model": self.model, "prompt": "Hello", "max_tokens": 8, "stream": True})
        chat = json.dumps({"model": self.model, "messages": [{"role": "user", "content": "Hello"}], "max_tokens": 8})
        key_header = f"-H 'Authorization: Bearer {self.key}'"
        type_header = "-H 'Content-Type: application/json'"
        print("\nThe deployment is running; Ctrl-C ends it. Try:\n")
        print(f"curl -N {key_header} {type_header} http://{self.fleet.http_address('vm-1')}/v1/completions -d '{completion}'")
        print(f"curl {key_header} {type_header} http://{self.fleet.http_address('vm-2')}/v1/chat/completions -d '{chat}'")
        print(f"curl {key_header} http://{self.fleet.http_address('vm-3')}{self.paths['lookup']}")
        print(f"curl http://{self.fleet.http_address('vm-4')}{self.paths['open']}")
        booking = json.dumps({"booking": "curl-1"})
        print(f"curl {key_header} {type_header} -H 'Idempotency-Key: curl-1' http://{self.fleet.http_address('vm-5')}{self.paths['booking']} -d '{booking}'")
        print(f"{self.fleet.build}/plantainpoint-ctl --admin {self.fleet.admin_address('vm-1')} fleet", flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    parser.add_argument("--deployment", choices=sorted(deployment.TOPOLOGIES), default="press")
    parser.add_argument("--keep", action="store_true", help="leave the deployment running until Ctrl-C instead of running the steps")
    parser.add_argument("--verbose", action="store_true", help="keep the processes' logs")
    options = parser.parse_args()
    fleet = Deployment(options.build, options.deployment, deployment.slot_from_environment(), options.verbose)
    if options.verbose:
        print(f"logs in {fleet.folder}")
    try:
        with fleet:
            demo = Demo(fleet)
            if not options.keep:
                demo.run()
                print(f"demo of {options.deployment}: {demo.steps} steps held")
                return 0
            demo.step("publish the example files", demo.publish_examples)
            demo.print_curl()
            signal.pause()
    except KeyboardInterrupt:
        return 0
    except StepError as failure:
        print(f"FAILED: {failure}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
