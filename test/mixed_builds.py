"""Runs relay VMs of an older build and of this one together, with the stand-in of the platform's store.

Guards against a build that rejects or misunderstands what the other one sends. Each case runs its own fleet:
- replacement: VMs are replaced one after the other under load, hubs among them, one of each build is killed, and VMs start in an outage of the store.
- leaving: a worker says in its answers to one VM only that it leaves. VMs of both builds have to keep away from it.
- limits: workers name how many requests a second they take from all VMs together.
- streams: workers of two versions break streams off, while all VMs are killed and started again as the other build.
- proxies: all VMs of one build are cut off from the workers and reach them through VMs of the other one.
- parts: the store and the workers use everything that this build knows and the older one does not.

In all cases every VM has to hear all others, and no VM may log a malformed message.
"""
import argparse
import json
import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time

import cut_off_vms
import exceeded_limits
import joined_versions
import leaving_endpoints
from platform_path import HOST, RelayFleet, WorkerHandler, WorkerServer, make_configuration, send_request, wait_for, worker_entry

BUILDS = ("old", "new")
# Data centre, processor cores and build of each VM. VMs with more cores take the roles of the fleet first, so that vm-1 reads the store, vm-1
# and vm-5 are the first hubs of their data centres, vm-2 and vm-6 the second ones, and each first hub places requests of a VM of the other build.
VMS = {
    "vm-1": ("dc-a", 8, "old"),
    "vm-2": ("dc-a", 4, "new"),
    "vm-3": ("dc-a", 1, "old"),
    "vm-4": ("dc-a", 1, "new"),
    "vm-5": ("dc-b", 6, "new"),
    "vm-6": ("dc-b", 4, "old"),
}
MALFORMED = ("malformed message of another VM", "imported from another VM is malformed")
READY = 6.0  # Seconds from the start of a VM.
READY_IN_OUTAGE = 3.0  # Seconds, as in process/platform_path.
HEARD = 6.0  # Seconds until all VMs hear each other.
BALANCER = 0.3  # Seconds until the balancer sends nothing to a VM that leaves or has ended.
CALL_INTERVAL = 0.2  # Seconds between two requests of a caller.
CALLERS = 6


# Below the range from which the kernel takes the ports of outgoing connections: such a connection may hold the port of a VM that starts again.
LISTENING_PORTS = range(20000, 30000)


def other(build):
    return BUILDS[1 - BUILDS.index(build)]


def is_free(port):
    try:
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            with socket.socket(socket.AF_INET, kind) as probe:
                probe.bind((HOST, port))
        return True
    except OSError:
        return False


class MixedFleet(RelayFleet):
    """Starts each VM as the build that `builds` names for it."""

    def __init__(self, new_build, old_build, names, build=None):
        super().__init__(new_build)
        self.folders = {"new": new_build, "old": old_build}
        self.builds = {name: build or VMS[name][2] for name in names}
        self.logs, self.taken_ports = [], set()

    def choose_port(self):
        while True:
            port = random.choice(LISTENING_PORTS)
            if port not in self.taken_ports and is_free(port):
                self.taken_ports.add(port)
                return port

    def start_relay(self, name, ports=None):
        data_centre, cores, _ = VMS[name]
        build = self.builds[name]
        ports = ports or [self.choose_port() for _ in range(3)]
        path = os.path.join(self.folder, f"{name}.yaml")
        with open(path, "w") as settings_file:
            settings_file.write(
                f"vm: {name}\ndata_centre: {data_centre}\nlisten: {HOST}:{ports[0]}\nready: {HOST}:{ports[1]}\npeer: {HOST}:{ports[2]}\n"
                f"directory: {HOST}:{self.store_port}\nreading:\n  interval: 100ms\nengines:\n  direct_limit: 0ms\n"
                f"processor_cores: {cores}\ndrain_time: 500ms\ngrace_s: 6\n"
            )
        log = os.path.join(self.folder, f"{name}-{build}-{len(self.logs)}.log")
        with open(log, "w") as output:
            process = subprocess.Popen([os.path.join(self.folders[build], "plantainpoint-relay"), "--settings", path], stdout=output, stderr=output)
        self.logs.append(log)
        self.processes.append(process)
        self.relays[name] = (process, ports)

    def start(self, configuration, workers):
        """Starts all VMs. The workers are pairs of a name and an entry."""
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, self.store_port)) == 0, 5.0)
        self.append_to_log("keyed.op", "config", configuration)
        for name, entry in workers:
            self.append_to_log("keyed.servers", name, entry)
        for name in self.builds:
            self.start_relay(name)
        self.wait_until_ready()
        time.sleep(2.0)
        self.check_all_hear()

    def wait_until_ready(self):
        wait_for("all VMs are ready", lambda: all(self.is_ready(name) for name in self.relays), READY)

    def status(self, name):
        return json.loads(send_request(self.relays[name][1][2], "GET", "/status", timeout=2)[1])

    def hears_all(self, name):
        try:
            status = self.status(name)
        except OSError:
            return False
        return status["vms_heard"] == status["vms"] == len(self.relays)

    def check_all_hear(self):
        try:
            wait_for("all VMs hear all others", lambda: all(self.hears_all(name) for name in self.relays), HEARD)
        except AssertionError as error:
            self.check_logs()
            seen = {name: [self.builds[name], self.status(name)["vms_heard"], self.status(name)["vms"]] for name in self.relays}
            raise AssertionError(f"{error}; build, heard VMs and known VMs: {seen}") from None
        self.check_logs()

    def check_logs(self):
        for path in self.logs:
            with open(path, errors="replace") as log:
                lines = [line.strip() for line in log if any(text in line for text in MALFORMED)]
            assert not lines, f"{os.path.basename(path)}: {lines[0]}"
        for name, (process, _) in self.relays.items():
            assert process.poll() is None, f"{name} ({self.builds[name]} build) has ended with {process.returncode}"

    def kill(self, name):
        process = self.relays[name][0]
        process.kill()
        process.wait()

    def start_again(self, name, build):
        self.builds[name] = build
        self.start_relay(name, self.relays[name][1])


class Callers:
    """Sends lookups, bookings and streams to the VMs that the balancer lists."""

    def __init__(self, fleet):
        self.fleet, self.listed, self.results, self.killed = fleet, set(fleet.relays), [], {}
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self.run, args=(number,)) for number in range(CALLERS)]
        for thread in self.threads:
            thread.start()

    def run(self, number):
        choices, sent = random.Random(number), 0
        while not self.stopped.wait(CALL_INTERVAL):
            sent += 1
            name, kind = choices.choice(sorted(self.listed)), choices.choice(("look", "book", "draft"))
            headers = {"X_Token_Count": "100,20", "X_Model": "m"} if kind == "draft" else {}
            begin, build = time.monotonic(), self.fleet.builds[name]
            try:
                status, body, _ = self.fleet.request(name, f"/{kind}/1", X_Request_Id=f"{name}/{number}-{sent}", **headers)
                if kind == "draft" and status == 200 and not body.endswith(b"piece 8\n\n"):
                    status = "broken"
            except Exception as error:  # Whatever ends a request without an answer.
                status = type(error).__name__
            self.results.append((name, build, kind, begin, status))

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def replace(self, name, build):
        self.listed.discard(name)
        time.sleep(BALANCER)
        process = self.fleet.relays[name][0]
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=8) == 0, f"{name} ended with {process.returncode}"
        self.start_again(name, build, READY)
        self.fleet.check_all_hear()

    def kill(self, name):
        """Kills a VM that the balancer lists still for a while."""
        self.fleet.kill(name)
        self.killed.setdefault(name, []).append(time.monotonic())
        time.sleep(BALANCER)
        self.listed.discard(name)

    def start_again(self, name, build, timeout):
        self.fleet.start_again(name, build)
        wait_for(f"{name} is ready as the {build} build", lambda: self.fleet.is_ready(name), timeout)
        self.listed.add(name)

    def kill_and_start(self, name, build):
        self.kill(name)
        time.sleep(1.0)
        self.start_again(name, build, READY)
        self.fleet.check_all_hear()

    def was_killed(self, name, begin):
        """Returns whether the VM may have been killed while it had a request that began then, or before."""
        longest = 3.0  # Seconds, the deadline of the callers.
        return any(at - longest <= begin <= at + 2 * BALANCER for at in self.killed.get(name, []))

    def check(self):
        judged = [each for each in self.results if not self.was_killed(each[0], each[3])]
        refused = [each for each in judged if each[4] in (429, 503)]
        lost = [each for each in judged if each[4] not in (200, 429, 503)]
        for build in BUILDS:
            served = sum(1 for each in judged if each[1] == build and each[4] == 200)
            assert served >= 50, f"VMs of the {build} build served {served} requests, which tells nothing"
        print(f"{len(judged)} requests to VMs that were not killed: {len(refused)} refused, {len(lost)} lost")
        assert not lost, f"{len(lost)} requests were not answered, such as {lost[:4]}"
        assert len(refused) <= len(judged) // 100, f"{len(refused)} of {len(judged)} requests were refused, such as {refused[:4]}"


class PlainServer(WorkerServer):
    event_count = 8
    request_queue_size = 64


def start_worker(name, stage=None, handler=WorkerHandler):
    server = PlainServer((HOST, 0), handler)
    server.name, server.stage, server.received, server.arrivals = name, stage, [], []
    server.leaves_to, server.said_leaving_at, server.limit = None, None, None
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def start_workers(handler=WorkerHandler):
    desks = [start_worker(f"i-desk-{number}", handler=handler) for number in (1, 2)]
    engines = [start_worker(f"i-dec-{number}", "decode", handler) for number in (1, 2)]
    entries = [(worker.name, {**worker_entry(worker, "desk"), "slots": 40}) for worker in desks]
    entries += [(worker.name, {**worker_entry(worker, "llm", "decode"), "slots": 40}) for worker in engines]
    return desks, engines, entries


def wide_configuration():
    configuration = make_configuration(1, ["k-1"])
    configuration["services"][1]["engine"]["slots"] = 40
    return configuration


def start_in_outage(fleet, callers, name, build):
    """Starts a VM that can get the configuration and the workers from VMs of the other build only."""
    assert all(fleet.builds[each] == other(build) for each in fleet.relays if each != name)
    callers.kill(name)
    fleet.configure_store(mode="silent")
    try:
        time.sleep(0.5)
        callers.start_again(name, build, READY_IN_OUTAGE)
        for path in ("/look/1", "/book/1"):
            status = fleet.request(name, path)[0]
            assert status == 200, f"{name}, started as the {build} build in an outage: {path} was answered with {status}"
    finally:
        fleet.configure_store(mode="up")
    fleet.check_all_hear()


def play_replacement(fleet):
    _, _, entries = start_workers()
    fleet.start(wide_configuration(), entries)
    callers = Callers(fleet)
    try:
        time.sleep(1.0)
        start_in_outage(fleet, callers, "vm-6", "new")
        callers.replace("vm-3", "new")
        assert fleet.status("vm-1")["role"] == "reader", "vm-1 does not read the store for the fleet"
        callers.kill_and_start("vm-1", "new")
        for name in ("vm-5", "vm-2", "vm-4"):
            callers.replace(name, "new")
        start_in_outage(fleet, callers, "vm-4", "old")
        # The way back to the older build.
        callers.replace("vm-1", "old")
        callers.kill_and_start("vm-5", "old")
        callers.replace("vm-3", "old")
        time.sleep(1.0)
    finally:
        callers.stop()
    callers.check()


class TermsHandler(WorkerHandler):
    """Says that the worker leaves, in answers to one VM only, and which limit it has."""

    def vm(self):
        return self.headers.get("X-Request-Id", "").split("/")[0]

    def do_POST(self):
        self.server.arrivals.append((time.monotonic(), self.vm()))
        super().do_POST()

    def send_answer(self, status, body, headers=()):
        server = self.server
        headers = list(headers)
        if server.leaves_to == self.vm():
            headers.append(("Server-Leaving", "1"))
            server.said_leaving_at = server.said_leaving_at or time.monotonic()
        if server.limit is not None:
            headers.append(("Server-Limit", str(server.limit)))
        super().send_answer(status, body, headers)


def start_desks(fleet):
    desks = [start_worker(f"i-desk-{number}", handler=TermsHandler) for number in (1, 2, 3, 4)]
    fleet.start(make_configuration(1, ["k-1"]), [(worker.name, {**worker_entry(worker, "desk"), "slots": 40}) for worker in desks])
    leaving_endpoints.send_load(fleet, 1.0, [])
    return desks


def play_leaving(fleet):
    desks = start_desks(fleet)
    # vm-4 is a VM of this build that follows a hub of the older one, and vm-6 the reverse.
    told = {"vm-4": desks[0], "vm-6": desks[1]}
    for name, worker in told.items():
        worker.leaves_to = name
    results = []
    leaving_endpoints.send_load(fleet, 3.0, results)
    for name, worker in told.items():
        assert worker.said_leaving_at, f"{worker.name} got no request of {name}"
    bound_from = max(worker.said_leaving_at for worker in told.values()) + leaving_endpoints.DRAIN
    leaving_endpoints.send_load(fleet, 3.0, results)
    # Hubs of both builds end, and VMs of the other build start in their places.
    for name in ("vm-1", "vm-5"):
        fleet.kill(name)
        fleet.start_again(name, other(fleet.builds[name]))
        leaving_endpoints.send_load(fleet, 2.0, results, [each for each in fleet.relays if each != name])
        fleet.wait_until_ready()
    time.sleep(leaving_endpoints.DRAIN)
    leaving_endpoints.send_load(fleet, 3.0, results)
    fleet.check_all_hear()
    for name, worker in told.items():
        leaving_endpoints.check_no_arrivals(worker, bound_from, f"{worker.name} has told {name} ({VMS[name][2]} build) that it leaves")
    leaving_endpoints.check_served(results, "two of four workers leave")
    for worker in desks[2:]:
        senders = {fleet.builds[vm] for _, vm in worker.arrivals if vm in fleet.builds}
        assert senders == set(BUILDS), f"{worker.name} got requests of the builds {senders}"


def play_limits(fleet):
    desks = start_desks(fleet)
    for worker in desks:
        worker.limit = exceeded_limits.LIMIT
    results = []
    begin = time.monotonic()
    leaving_endpoints.send_load(fleet, 7.0, results)
    steady = time.monotonic()
    # Both first hubs, of which each knows what its data centre has sent, are killed and come back as the other build.
    for name in ("vm-1", "vm-5"):
        fleet.kill(name)
        fleet.start_again(name, other(fleet.builds[name]))
        leaving_endpoints.send_load(fleet, 2.0, results, [each for each in fleet.relays if each != name])
        fleet.wait_until_ready()
    leaving_endpoints.send_load(fleet, 7.0, results)
    end = time.monotonic()
    fleet.check_all_hear()
    limit, window, settle = exceeded_limits.LIMIT, exceeded_limits.WINDOW, exceeded_limits.SETTLE
    for worker in desks:
        times = [when for when, _ in worker.arrivals]
        allowed = 1.5 * limit * window + 5
        got = exceeded_limits.most_in_window(times, begin + settle, end)
        served = sum(1 for when in times if begin + settle <= when < steady)
        print(f"{worker.name}: {got} requests in {window:.0f} s, allowed {allowed:.0f}; {served} in {steady - begin - settle:.1f} s without kills")
        assert got <= allowed, f"{worker.name} named {limit} a second and got {got} requests in {window:.0f} s; allowed {allowed:.0f}"
        assert served >= 0.5 * limit * (steady - begin - settle), f"{worker.name} takes {limit} a second and got {served} in {steady - begin - settle:.1f} s"
        senders = {fleet.builds[vm] for when, vm in worker.arrivals if when > steady and vm in fleet.builds}
        assert senders == set(BUILDS), f"{worker.name} got requests of the builds {senders}"
    others = [each for each in results if each[0] not in (200, 503)]
    refused = [each for each in results if each[0] == 503]
    print(f"{len(results)} requests: {len(refused)} refused")
    assert not others, f"expected 200 or 503, got {others[:4]}"
    assert refused and all(each[2] for each in refused), "a refusal has no Retry-After"


def play_streams(fleet):
    workers = [joined_versions.start_worker(f"i-{version}-{number}", version, number) for version in ("v1", "v1.1") for number in (1, 2)]
    entries = [(worker.name, {**worker_entry(worker, "llm", "decode"), "version": worker.version, "slots": 40}) for worker in workers]
    fleet.start(joined_versions.configuration(), entries)
    streams, threads = [], []
    for pause in (0.5, 1.0):
        joined_versions.send_streams(fleet, 3.0, 15, streams, threads)
        # Streams that VMs of one build began are taken up at VMs of the other one.
        fleet.builds = {name: other(build) for name, build in fleet.builds.items()}
        joined_versions.kill_all(fleet, pause)
        fleet.wait_until_ready()
    joined_versions.send_streams(fleet, 3.0, 15, streams, threads)
    for thread in threads:
        thread.join()
    fleet.check_all_hear()
    joined = [stream for stream in streams if len(stream.versions) > 1]
    taken = [stream for stream in streams if stream.taken]
    went_on = [stream for stream in taken if stream.went_on]
    share = sum(1 for stream in streams if stream.last_event) / len(streams)
    print(f"{len(streams)} streams, {len(taken)} taken up, {len(went_on)} went on, {len(joined)} joined")
    assert len(joined) <= joined_versions.JOINED_ALLOWED, f"{len(joined)} streams hold events of two versions, such as {[s.number for s in joined[:5]]}"
    assert len(taken) >= 12, "too few streams were taken up"
    answers = [stream.answers for stream in taken if not stream.went_on]
    assert len(went_on) >= share / 2 * len(taken), f"of {len(taken)} streams taken up {len(went_on)} went on, such as {answers[:4]}"


def play_proxies(fleet):
    """Cuts the VMs of each build off in turn, with the load and the bounds of process/cut_off_vms."""
    network = cut_off_vms.Network()
    desks = [cut_off_vms.start_worker(network, f"i-desk-{number}") for number in (1, 2, 3)]
    engines = [cut_off_vms.start_worker(network, f"i-dec-{number}", "decode") for number in (1, 2, 3)]
    entries = [(worker.name, {**worker_entry(worker, "desk"), "slots": 40}) for worker in desks]
    entries += [(worker.name, {**worker_entry(worker, "llm", "decode"), "slots": 40}) for worker in engines]
    fleet.start(wide_configuration(), entries)
    network.pids = {name: process.pid for name, (process, _) in fleet.relays.items()}
    for build in BUILDS:
        cut = {name for name in fleet.relays if fleet.builds[name] == build}
        before = {name: cut_off_vms.metric(fleet, name, "proxied_dispatches") for name in cut}
        cut_off_vms.play_cut(fleet, network, desks + engines, cut, "reset")
        used = {name: cut_off_vms.metric(fleet, name, "proxied_dispatches") - before[name] for name in cut}
        print(f"dispatches of VMs of the {build} build through VMs of the other one: {used}")
        assert all(used.values()), f"VMs of the {build} build reach the workers through no VM of the other build: {used}"
        fleet.check_all_hear()
    booked = [request_id for worker in desks for request_id in worker.booked]
    assert len(booked) == len(set(booked)), "a booking has reached workers twice"


class PartsHandler(WorkerHandler):
    def send_answer(self, status, body, headers=()):
        super().send_answer(status, body, [*headers, ("X-Load-Report", "1,0,40,250"), ("X-Cold-Ms", "1500")])


def play_parts(fleet):
    _, _, entries = start_workers(PartsHandler)
    entries = [(name, {**entry, "cold_left_ms": 1500}) for name, entry in entries]
    distant = start_worker("i-desk-b", handler=PartsHandler)
    entries.append((distant.name, {**worker_entry(distant, "desk"), "slots": 40, "zone": "dc-b"}))
    configuration = wide_configuration()
    for service in configuration["services"]:
        service.update({"cold_start_s": 3, "cold_per_s": 34})
    for route in configuration["routes"]:
        route["home_regions"] = []
    fleet.start(configuration, entries)
    callers = Callers(fleet)
    try:
        time.sleep(2.0)
        fleet.append_to_log("keyed.op", "evacuate/dc-b", {})
        time.sleep(2.0)
        callers.replace("vm-4", "old")
        callers.replace("vm-6", "new")
        callers.kill_and_start("vm-1", "new")
        fleet.append_to_log("keyed.op", "evacuate/dc-b", b"")
        callers.kill_and_start("vm-5", "old")
        time.sleep(2.0)
    finally:
        callers.stop()
    fleet.check_all_hear()
    callers.check()


CASES = {
    "replacement": (play_replacement, VMS, "old"),
    "leaving": (play_leaving, VMS, None),
    "limits": (play_limits, VMS, None),
    "streams": (play_streams, VMS, None),
    "proxies": (play_proxies, ("vm-1", "vm-2", "vm-3", "vm-4"), None),
    "parts": (play_parts, VMS, None),
}


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--old-build", required=True)
    parser.add_argument("--case", choices=CASES, action="append")
    options = parser.parse_args()
    failed = 0
    for case in options.case or CASES:
        play, names, build = CASES[case]
        begin = time.monotonic()
        fleet = MixedFleet(options.build, options.old_build, names, build)
        try:
            play(fleet)
            fleet.check_logs()
            print(f"ok      {case}, {time.monotonic() - begin:.0f} s", flush=True)
        except AssertionError as failure:
            failed += 1
            print(f"FAILED  {case}: {failure}; logs in {fleet.folder}", flush=True)
        finally:
            fleet.stop()
    if not failed:
        print("mixed builds: ok")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
