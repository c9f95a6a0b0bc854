"""Runs a relay VM against a worker that answers many requests at the same time with bodies that do not end.

Guards against a VM that keeps them all, runs out of memory and ends with the requests of other callers: its memory stays below that of the smallest machine
of the deployment, and streams of another service are served meanwhile.
"""
import argparse
import socket
import sys
import threading
import time

from platform_path import HOST, REPLY_STAMP, RelayFleet, WorkerHandler, WorkerServer, make_configuration, start_worker, wait_for, worker_entry

MEMORY_MB = 88  # Of the smallest machine.
CALLERS = 60
BLOCK = b"x" * 65536


class EndlessHandler(WorkerHandler):
    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length") or 0))
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Reply-Stamp", REPLY_STAMP)
        self.end_headers()
        self.close_connection = True
        # The bodies grow together, so that all of them are long when the first one is too long.
        try:
            while not self.server.ended:
                self.wfile.write(BLOCK)
                time.sleep(0.02)
        except OSError:
            pass


def start_endless(name):
    server = WorkerServer((HOST, 0), EndlessHandler)
    server.name, server.stage, server.received, server.ended = name, None, [], False
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def peak_memory_mb(pid):
    with open(f"/proc/{pid}/status") as status:
        return next(int(line.split()[1]) for line in status if line.startswith("VmHWM")) / 1024


def call(fleet, path, results, **headers):
    try:
        results.append(fleet.request("vm-1", path, **headers)[0])
    except OSError as error:
        results.append(type(error).__name__)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = RelayFleet(parser.parse_args().build)
    endless, engine = start_endless("i-desk"), start_worker("i-dec", "decode")
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.append_to_log("keyed.op", "config", make_configuration(1, ["k-1"]))
        fleet.append_to_log("keyed.servers", endless.name, {**worker_entry(endless, "desk"), "slots": 200})
        fleet.append_to_log("keyed.servers", engine.name, worker_entry(engine, "llm", "decode"))
        fleet.start_relay("vm-1")
        wait_for("the VM is ready", lambda: fleet.is_ready("vm-1"), 6.0)
        process = fleet.relays["vm-1"][0]
        time.sleep(1.0)
        print(f"memory before: {peak_memory_mb(process.pid):.0f} MB")
        results, sound = [], []
        threads = [threading.Thread(target=call, args=(fleet, "/book/1", results)) for _ in range(CALLERS)]
        for thread in threads:
            thread.start()
        for _ in range(4):
            call(fleet, "/draft/1", sound, X_Token_Count="100,20", X_Model="m")
        for thread in threads:
            thread.join()
        endless.ended = True
        assert process.poll() is None, "the VM has ended"
        peak = peak_memory_mb(process.pid)
        print(f"{CALLERS} endless answers: at most {peak:.0f} MB, allowed {MEMORY_MB} MB; sound streams: {sound}")
        assert peak <= MEMORY_MB, f"the VM used {peak:.0f} MB, allowed {MEMORY_MB} MB"
        assert sound == [200] * len(sound), f"streams of another service: expected 200, got {sound}"
        assert 200 not in results, "an answer without end was passed on"
        print("endless answers: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
