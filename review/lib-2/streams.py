"""Clients of resumable streams, and the deployment that the cases on software versions share."""
import http.client
import random
import threading
import time

from fleet import HOST

EVENTS = 70
DEADLINE = 14.0  # Seconds.
TRIES = 2  # Of a client: the sheet of the site has one retry.
KEY = "key-of-t1"


def configuration():
    """The operator's configuration: one route with resumable streams."""
    route = {
        "name": "mortar-advice",
        "host": "lab.example",
        "path_prefix": "/advice/",
        "kind": "streaming",
        "resumable": True,
        "service": "stone-llm",
        "timeout_ms": 14000,
        "slo_ms": 900,
        "gap_slo_ms": 300,
        "priority": 1,
        "attempts": 2,
        "public": False,
    }
    return {
        "version": 3,
        "routes": [route],
        "services": [{"name": "stone-llm", "engine": {"slots": 48, "kv_tokens": 1350150, "handle_ttl_s": 0.5}}],
        "limits": {"header_bytes": 16384, "body_bytes": 4194304, "header_ms": 3000, "idle_ms": 15000},
        "tenants": [{"name": "t1", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 200, "rate_per_s": 0, "burst": 0}],
    }


def add_deployment(fleet, versions=("v1", "v2")):
    """Three VMs, and workers of two software versions side by side. The versions of the prefill workers don't matter: they write no events."""
    fleet.store.write("keyed.op", "config", configuration())
    for number, version in enumerate(versions):
        fleet.add_worker(f"i-prefill-{number + 1}", "stone-llm", number, 48, stage="prefill", version=version)
        for copy in (1, 2):
            fleet.add_worker(f"i-decode-{2 * number + copy}", "stone-llm", copy, 48, stage="decode", version=version)
    for number in range(3):
        fleet.add_relay(f"front-{number + 1}", number)


class Stream:
    """A client's stream over all of its tries. After a broken channel it is taken up at another VM with the last event and the id of the client attempt that
    brought the first one."""

    def __init__(self, fleet, number, vm):
        self.fleet, self.number, self.vm = fleet, number, vm
        self.first_id, self.last_event, self.workers, self.answers = None, 0, [], []
        self.is_whole = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def attempt(self, relay, attempt_number, time_left):
        request_id = f"stream-{self.number}-{attempt_number}"
        headers = {
            "Host": "lab.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(int(time_left * 1000)),
            "Authorization": f"Bearer {KEY}",
            "X-Model": "m",
            "X-Token-Count": "5200,70",
            "X-Prefix-Hash": f"5c1e07a2:200,{self.number:08x}:5000",
        }
        if self.last_event:
            headers.update({"Last-Event-Id": str(self.last_event), "Resumes": self.first_id})
        self.fleet.record.write(f"client sends {request_id} to {relay.name} after event {self.last_event}")
        connection = http.client.HTTPConnection(HOST, relay.front, timeout=time_left)
        pause = 0.05
        try:
            connection.request("POST", "/advice/1", b"prompt", headers)
            response = connection.getresponse()
            self.answers.append(response.status)
            if response.status != 200:
                response.read()
                pause = float(response.getheader("Retry-After") or 0.3)
                return pause
            while line := response.readline():
                if line.startswith(b"id: "):
                    event = int(line[4:])
                elif line.startswith(b"data: "):
                    self.first_id = self.first_id or request_id
                    self.last_event = event
                    worker = line[6:].strip().decode().replace(" ", "/")
                    if not self.workers or self.workers[-1] != worker:
                        self.workers.append(worker)
            self.is_whole = self.last_event == EVENTS
        except (OSError, http.client.HTTPException) as error:
            self.answers.append(type(error).__name__)
        finally:
            connection.close()
            self.fleet.record.write(f"client has of {request_id}: {self.answers[-1]}, events to {self.last_event} from {'+'.join(self.workers) or '-'}")
        return pause

    def run(self):
        deadline = time.monotonic() + DEADLINE
        for attempt_number in range(TRIES):
            relays = self.fleet.relays
            relay = relays[(self.vm + attempt_number) % len(relays)]
            pause = self.attempt(relay, attempt_number, deadline - time.monotonic())
            if self.is_whole or time.monotonic() + pause > deadline - 0.5:
                return
            time.sleep(pause)

    def versions(self):
        return sorted({worker.split("/")[1] for worker in self.workers})


class Load:
    """Sends streams at a steady rate to given VMs, in a random order that is the same in every run."""

    def __init__(self, fleet, vms, per_second):
        self.fleet, self.vms, self.pause = fleet, vms, 1 / per_second
        self.streams, self.random, self.is_over = [], random.Random(7), False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        next_at = time.monotonic()
        while not self.is_over:
            self.streams.append(Stream(self.fleet, len(self.streams), self.random.choice(self.vms)))
            next_at += self.pause
            time.sleep(max(next_at - time.monotonic(), 0))

    def finish(self):
        self.is_over = True
        self.thread.join()
        for stream in self.streams:
            stream.thread.join()
        return self.streams


def judge(streams):
    """Returns whether more than two streams hold events of two versions, and the counts."""
    joined = [stream for stream in streams if len(stream.versions()) > 1]
    taken = [stream for stream in streams if len(stream.answers) > 1 and stream.last_event]
    whole = sum(stream.is_whole for stream in streams)
    names = ", ".join(f"stream-{stream.number} ({'+'.join(stream.workers)})" for stream in joined[:5])
    text = f"{len(streams)} streams, {whole} whole, {len(taken)} with several client attempts, {len(joined)} hold events of two versions"
    return len(joined) > 2, text + (f": {names}" if names else "")
