"""Runs four relay VMs and six workers, and cuts some of the VMs off from all workers while callers, the store and the other VMs reach them.

Guards against callers who are served far worse at VMs that are cut off: from 3 s after the begin of a cut, the VMs that are cut off have to serve two
thirds as large a share of first tries as the others, and 10 + 1 in 50 of all first tries may fail there. Bookings may arrive once, a stream has to be whole,
and none of the VMs may tell the others that a worker has ended.

The workers recognise a VM by the process that owns the other end of a connection. They reset open connections and new ones ("reset"), or new ones only
("refused").
"""
import argparse
import http.client
import os
import random
import socket
import struct
import sys
import threading
import time

from platform_path import HOST, RelayFleet, WorkerHandler, WorkerServer, make_configuration, send_request, wait_for, worker_entry

STABLE = 3.0  # Seconds from the begin of a cut until the rule binds.
CUT = 8.0  # Seconds.
RATE = 60  # First tries a second.
VMS = ("vm-1", "vm-2", "vm-3", "vm-4")
# Constants of linux/netlink.h and linux/sock_diag.h.
NETLINK_SOCK_DIAG = 4
SOCK_DIAG_BY_FAMILY = 20
NLM_F_REQUEST = 1


class Network:
    """Tells which VM owns a connection, and which VMs are cut off."""

    def __init__(self):
        self.pids, self.cut, self.kind = {}, frozenset(), None

    def owner(self, client_port, worker_port):
        """Returns the name of the VM. On a busy machine the kernel's tables show a new connection late."""
        for _ in range(3):
            name = self.find_owner(client_port, worker_port)
            if name is not None:
                return name
            time.sleep(0.01)
        return None

    def find_owner(self, client_port, worker_port):
        inode = find_inode(client_port, worker_port)
        if not inode:
            return None
        target = f"socket:[{inode}]"
        for name, pid in list(self.pids.items()):
            folder = f"/proc/{pid}/fd"
            try:
                if any(os.readlink(os.path.join(folder, descriptor)) == target for descriptor in os.listdir(folder)):
                    return name
            except OSError:
                continue
        return None


def find_inode(client_port, worker_port):
    """Returns the inode of the client's end of a connection, or 0. The kernel is asked for this socket alone, as its tables of all sockets take milliseconds
    to read on a busy machine."""
    host = socket.inet_aton(HOST).ljust(16, b"\0")
    # struct inet_diag_req_v2 of linux/inet_diag.h. All states are wanted, and no cookie is known.
    ends = struct.pack(">HH", client_port, worker_port) + host + host
    request = struct.pack("=BBBxI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0xFFFFFFFF) + ends + struct.pack("=III", 0, 0xFFFFFFFF, 0xFFFFFFFF)
    header = struct.pack("=IHHII", 16 + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0)
    with socket.socket(socket.AF_NETLINK, socket.SOCK_DGRAM, NETLINK_SOCK_DIAG) as diagnosis:
        diagnosis.send(header + request)
        answer = diagnosis.recv(4096)
    kind = struct.unpack_from("=H", answer, 4)[0]
    return struct.unpack_from("=I", answer, 84)[0] if kind == SOCK_DIAG_BY_FAMILY else 0


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
    except OSError:
        pass


class CutHandler(WorkerHandler):
    def do_POST(self):
        if self.path.startswith("/book/"):
            with self.server.lock:
                self.server.booked.append(self.headers.get("X-Request-Id"))
        super().do_POST()


class CutWorker(WorkerServer):
    def process_request_thread(self, request, client_address):
        owner = self.network.owner(client_address[1], self.server_address[1])
        # The VM of a connection that it has closed already is not known any more.
        if owner in self.network.cut or (owner is None and self.network.cut):
            reset(request)
            return
        with self.lock:
            self.open.append((owner, request))
        super().process_request_thread(request, client_address)

    def reset_open(self, names):
        with self.lock:
            mine = [request for owner, request in self.open if owner in names]
            self.open = [each for each in self.open if each[0] not in names]
        for request in mine:
            reset_duplicate(request)


def reset_duplicate(request):
    """Resets a connection that another thread reads."""
    try:
        request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        request.shutdown(socket.SHUT_RD)
        os.close(request.detach())
    except OSError:
        pass


def start_worker(network, name, stage=None):
    server = CutWorker((HOST, 0), CutHandler)
    server.name, server.stage, server.received, server.network = name, stage, [], network
    server.open, server.booked, server.lock = [], [], threading.Lock()
    server.event_count, server.event_pause = 8, 0.02
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def call(fleet, name, kind, results):
    begin = time.monotonic()
    path = {"look": "/look/1", "book": "/book/1", "draft": "/draft/1"}[kind]
    headers = {"X_Token_Count": "100,20", "X_Model": "m"} if kind == "draft" else {}
    try:
        status, body, _ = fleet.request(name, path, X_Deadline_Ms="2000", X_Request_Id=f"{name}/{time.monotonic_ns()}", **headers)
        whole = kind != "draft" or body.endswith(b"piece 8\n\n")
        results.append((name, kind, begin, status if whole else "broken"))
    except (OSError, http.client.HTTPException) as error:
        results.append((name, kind, begin, type(error).__name__))


def send_load(fleet, seconds, results):
    threads = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        thread = threading.Thread(target=call, args=(fleet, random.choice(VMS), random.choice(("look", "book", "draft")), results))
        thread.start()
        threads.append(thread)
        time.sleep(1 / RATE)
    for thread in threads:
        thread.join()


def metric(fleet, name, key):
    text = send_request(fleet.relays[name][1][2], "GET", "/metrics")[1].decode()
    return sum(float(line.split()[-1]) for line in text.splitlines() if line.startswith(f"plantainpoint_{key}"))


def play_cut(fleet, network, workers, cut, kind):
    results = []
    network.kind, network.cut = kind, frozenset(cut)
    begin = time.monotonic()
    if kind == "reset":
        for worker in workers:
            worker.reset_open(cut)
    send_load(fleet, CUT, results)
    network.cut = frozenset()
    judged = [each for each in results if each[2] >= begin + STABLE]
    cut_off = [each for each in judged if each[0] in cut]
    others = [each for each in judged if each[0] not in cut]
    served, served_others = (sum(1 for each in group if each[3] == 200) for group in (cut_off, others))
    failed = [each for each in cut_off if each[3] != 200]
    what = f"{len(cut)} of 4 VMs cut off, {kind}"
    print(f"{what}: they served {served} of {len(cut_off)} first tries, the others {served_others} of {len(others)}")
    share, share_others = served / max(len(cut_off), 1), served_others / max(len(others), 1)
    assert share >= share_others * 2 / 3, f"{what}: served {served} of {len(cut_off)}, the others {served_others} of {len(others)}; such as {failed[:4]}"
    assert len(failed) <= 10 + len(judged) // 50, f"{what}: {len(failed)} first tries failed at VMs that are cut off, such as {failed[:4]}"
    crashes = {name: metric(fleet, name, "endpoint_crashes") for name in VMS}
    assert not any(crashes.values()), f"{what}: VMs report that workers have ended although none has: {crashes}"
    # The way back: 2 s after the end of the cut no request passes through another VM.
    time.sleep(2.0)
    before = {name: metric(fleet, name, "proxied_dispatches") for name in VMS}
    results = []
    send_load(fleet, 1.0, results)
    after = {name: metric(fleet, name, "proxied_dispatches") for name in VMS}
    assert before == after, f"{what}: requests still pass through other VMs after the cut: {before} {after}"
    assert sum(1 for each in results if each[3] != 200) <= len(results) // 20, f"{what}: {[each for each in results if each[3] != 200][:4]}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    random.seed(options.seed)
    fleet = RelayFleet(options.build)
    network = Network()
    desks = [start_worker(network, f"i-desk-{number}") for number in (1, 2, 3)]
    engines = [start_worker(network, f"i-dec-{number}", "decode") for number in (1, 2, 3)]
    workers = desks + engines
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        configuration = make_configuration(1, ["k-1"])
        for service in configuration["services"]:
            if "engine" in service:
                service["engine"]["slots"] = 40
        fleet.append_to_log("keyed.op", "config", configuration)
        for worker in desks:
            fleet.append_to_log("keyed.servers", worker.name, {**worker_entry(worker, "desk"), "slots": 40})
        for worker in engines:
            fleet.append_to_log("keyed.servers", worker.name, {**worker_entry(worker, "llm", "decode"), "slots": 40})
        for name in VMS:
            fleet.start_relay(name)
        network.pids = {name: fleet.relays[name][0].pid for name in VMS}
        wait_for("all VMs are ready", lambda: all(fleet.is_ready(name) for name in VMS), 6.0)
        time.sleep(2.0)
        warm_up = []
        send_load(fleet, 1.0, warm_up)
        assert sum(1 for each in warm_up if each[3] != 200) <= 3, [each for each in warm_up if each[3] != 200][:4]
        play_cut(fleet, network, workers, {"vm-1", "vm-2", "vm-3"}, "reset")
        play_cut(fleet, network, workers, {"vm-2"}, "reset")
        play_cut(fleet, network, workers, {"vm-1", "vm-3", "vm-4"}, "refused")
        booked = [request_id for worker in desks for request_id in worker.booked]
        assert len(booked) == len(set(booked)), "a booking has reached workers twice"
        print("cut off VMs: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
