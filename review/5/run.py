"""Callers of one account send prompts, and one part of some of them crashes each worker that begins to write an answer on it.

Eleven workers (three for prefill, eight for decode) stand behind three VMs. A worker that crashes closes its port and all its channels, its
entry goes after three check-in intervals, and another worker starts 2 s later. Sound prompts come all the time, and prompts with the part
from SOUND_S on. With TROUBLE=0 the part crashes no worker.
"""
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from harness import *

STABLE_S = 3.0  # `stable_ms`.
CHECK_IN_S = 1.2  # `heartbeat_ms`.
RESTART_S = 2.0
SOUND_S, TROUBLE_S = 12.0, 30.0
SOUND_PER_S, BAD_PER_S = 6.0, 1.5
BAD_PART = "bad0bad0"
TOLERATED = 3  # Requests with the part that may reach workers later than `stable_ms` after the fifth crash.
LEAST_REQUESTS = 20  # The rule compares 20 requests or more of each span.


class CrashingServer(QuietServer):
    def __init__(self, *args):
        self.channels = set()
        super().__init__(*args)

    def process_request(self, request, client_address):
        self.channels.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        self.channels.discard(request)
        super().shutdown_request(request)

    def crash(self):
        self.crashed = True
        self.socket.close()
        for channel in list(self.channels):
            try:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                channel.shutdown(socket.SHUT_RDWR)
                channel.close()
            except OSError:
                pass


class Pool:
    def __init__(self, case):
        self.case, self.lock = case, threading.Lock()
        self.count, self.crashes, self.bad_arrivals, self.begun = 0, [], [], {}
        self.over = False

    def start(self, stage):
        with self.lock:
            self.count += 1
            name = f"i-{stage}-{self.count}"
        server = CrashingServer((HOST, 0), WorkerHandler)
        server.__dict__.update(name=name, service="llm", stage=stage, slots=12, stamp=f"stamp-{name}", run=self.run, crashed=False)
        server.address = f"{HOST}:{server.server_address[1]}"
        threading.Thread(target=self.serve, args=(server,), daemon=True).start()
        self.case.store.register(server)

    @staticmethod
    def serve(server):
        try:
            server.serve_forever(0.05)
        except (OSError, ValueError):
            pass  # The listening socket of a crashed worker is closed.

    def replace(self, server):
        time.sleep(RESTART_S)
        if not self.over:
            self.start(server.stage)
        time.sleep(3 * CHECK_IN_S - RESTART_S)
        self.case.store.remove("keyed.servers", server.name)

    def run(self, request, body):
        worker, request_id = request.server, request.headers.get("X-Request-Id")
        bad = BAD_PART in request.headers.get("X-Prefix-Hash", "")
        if request.headers.get("X-Stage") == "prefill":
            if worker.stage != "prefill":
                request.answer(421, b"", [("X-Instance-Id", worker.name)])
                return
            time.sleep(0.02)
            request.answer(200, json.dumps({"kv_handle": f"{random.getrandbits(48):012x}", "tokens": 1000, "version": 1}).encode())
            return
        if worker.stage != "decode":
            request.answer(421, b"", [("X-Instance-Id", worker.name)])
            return
        now = time.monotonic()
        with self.lock:
            if bad:
                self.bad_arrivals.append((now, request_id))
        self.case.record.write(f"run id={request_id}{' with the part' if bad else ''} at {worker.name}")
        try:
            request.begin_stream()
            with self.lock:
                self.begun.setdefault(request_id, now)
            if bad and trouble():
                time.sleep(0.07)
                with self.lock:
                    crashed, worker.crashed = worker.crashed, True
                    if not crashed:
                        self.crashes.append(time.monotonic())
                if not crashed:
                    self.case.record.write(f"crash of {worker.name}, number {len(self.crashes)}, by id={request_id}")
                    threading.Thread(target=self.replace, args=(worker,), daemon=True).start()
                    worker.crash()
                request.close_connection = True
                return
            for number in range(1, 31):
                time.sleep(0.02)
                request.send_event(number, f"piece {number}")
            request.end_stream()
        except OSError:
            request.close_connection = True


def play(case):
    pool, numbers = Pool(case), random.Random(7)
    for number in range(11):
        pool.start("prefill" if number < 3 else "decode")
    case.store.configure(configuration(routes=[{"name": "summary", "path_prefix": "/summary/", "kind": "streaming", "slo_ms": 900, "gap_slo_ms": 300, "sticky": True, "resumable": True, "attempts": 2, "service": "llm"}]))
    vms = case.start_relays("vm-1", "vm-2", "vm-3")
    results, threads, start = {}, [], time.monotonic()

    def call(request_id, vm, bad, first_part):
        parts = [f"{first_part}:200", f"{BAD_PART}:300"] if bad else [f"{first_part}:200"]
        parts.append(f"{request_id.encode().hex()}:500")
        headers = [("X-Model", "m"), ("X-Token-Count", "1000,30"), ("X-Prefix-Hash", ",".join(parts))]
        sent = time.monotonic()
        try:
            client = Client(vm.listen, timeout=14)
            client.send(request_bytes("POST", "/summary/1", request_id, b"p" * 1000, headers, deadline_ms=14000))
            answer = client.read_answer()
            client.close()
            outcome = answer.status
        except (OSError, EOFError) as error:
            outcome = repr(error)
        results[request_id] = (sent, bad, outcome)
        case.record.write(f"answered id={request_id}{' with the part' if bad else ''} {outcome}")

    plan = []
    at = 0.0
    while at < SOUND_S + TROUBLE_S:
        at += numbers.expovariate(SOUND_PER_S)
        plan.append((at, False))
    at = SOUND_S
    while at < SOUND_S + TROUBLE_S:
        at += numbers.expovariate(BAD_PER_S)
        plan.append((at, True))
    for number, (at, bad) in enumerate(sorted(plan)):
        time.sleep(max(start + at - time.monotonic(), 0))
        thread = threading.Thread(target=call, args=(f"r{number}", numbers.choice(vms), bad, f"{numbers.randrange(20):08x}"))
        thread.start()
        threads.append(thread)
    for thread in threads:
        thread.join()
    pool.over = True
    crashes = pool.crashes
    sound = [(sent, request_id, outcome) for request_id, (sent, bad, outcome) in results.items() if not bad]
    before = [request_id for sent, request_id, _ in sound if sent - start < SOUND_S - 1]
    share_before = sum(request_id in pool.begun for request_id in before) / len(before)
    if not trouble():
        served = sum(outcome == 200 for _, _, outcome in sound)
        return served >= 0.95 * len(sound), f"{served} of {len(sound)} sound requests served, {len(crashes)} crashes"
    if len(crashes) < 5:
        return True, f"{len(crashes)} workers crashed, fewer than five"
    fifth = crashes[4]
    late = [request_id for arrived, request_id in pool.bad_arrivals if results[request_id][0] > fifth + STABLE_S]
    after = [request_id for sent, request_id, _ in sound if sent > fifth + 2 * STABLE_S and sent - start < SOUND_S + TROUBLE_S]
    share_after = sum(request_id in pool.begun for request_id in after) / max(len(after), 1)
    lost = [request_id for sent, request_id, outcome in sound if sent > fifth + STABLE_S and outcome != 200]
    starved = min(len(before), len(after)) >= LEAST_REQUESTS and share_after < share_before / 2
    text = (
        f"{len(crashes)} workers crashed; {len(late)} requests with the part reached workers, sent later than {STABLE_S:.0f} s after the fifth crash "
        f"({TOLERATED} allowed); {len(lost)} sound requests sent in that time got no whole answer; sound requests begun: {share_before:.2f} of "
        f"{len(before)} before, {share_after:.2f} of {len(after)} later"
    )
    return len(late) <= TOLERATED and not starved, text


main(HERE, play)
