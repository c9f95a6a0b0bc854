"""Starts and stops the processes of a plantainpoint deployment and its stand-ins on loopback addresses.

The demo and the process tests use this module. It needs only the standard library and signals only the processes that it started.
"""

import http.client
import json
import os
import secrets
import shutil
import signal
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# Region, number of VMs per data centre, numbers of prefill, decode and plain (booking) workers, and model of each deployment.
TOPOLOGIES = {
    "press": {
        "region": "reykjanes",
        "vms": {"reykjanes-a": 3, "reykjanes-b": 2, "reykjanes-c": 2},
        "prefill": 4,
        "decode": 7,
        "plain": 3,
        "model": "press-summaries",
    },
    "lab": {
        "region": "hu-central",
        "vms": {"hu-central-a": 3, "hu-central-b": 2, "hu-central-c": 2},
        "prefill": 2,
        "decode": 4,
        "plain": 3,
        "model": "wear-reports",
    },
}

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0


class StepError(Exception):
    """Signals that a step or a fault scenario failed."""


class Response:
    """Holds the status, headers and body of an HTTP response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)


def send_request(address, method, path, body=None, headers=None, timeout=10.0):
    """Sends one request on a new connection and returns the response."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        return send_request_on(connection, method, path, body, headers)
    finally:
        connection.close()


def send_request_on(connection, method, path, body=None, headers=None):
    """Sends one request on an open connection and returns the response."""
    data = json.dumps(body).encode() if isinstance(body, (dict, list)) else body
    connection.request(method, path, body=data, headers=headers or {})
    response = connection.getresponse()
    return Response(response.status, dict(response.getheaders()), response.read().decode(errors="replace"))


def wait_until(condition, timeout, description):
    """Polls the condition until it is true and returns the elapsed seconds. Connection and parse errors count as false."""
    start = time.monotonic()
    while time.monotonic() - start < timeout:
        try:
            if condition():
                return time.monotonic() - start
        except (OSError, http.client.HTTPException, ValueError, KeyError):
            pass
        time.sleep(0.02)
    raise StepError(f"{description}: not within {timeout:g} s")


class Deployment:
    """Owns the processes of one deployment. It is used as a context manager."""

    def __init__(self, build, topology="press", slot=0, verbose=False, engine_options=None, log_options=None):
        self.build = Path(build).resolve()
        self.topology = TOPOLOGIES[topology]
        self.name = topology
        self.slot = slot
        self.verbose = verbose
        self.engine_options = engine_options or []
        self.log_options = log_options or []
        self.folder = Path(tempfile.mkdtemp(prefix="plantainpoint-"))
        self.processes = {}
        self.vms = {}
        self.log_address = self.address(0, 1, 7000)
        self.vm_list_address = self.address(0, 2, 7000)
        self.weight_store_address = self.address(0, 3, 7000)

    def address(self, group, number, port):
        return f"127.{self.slot}.{group}.{number}:{port}"

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_):
        self.stop()

    # Processes.

    def launch(self, name, program, arguments):
        output = open(self.folder / f"{name}.log", "ab")
        command = [str(self.build / program), *map(str, arguments)]
        process = subprocess.Popen(command, stdout=output, stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL)
        output.close()
        self.processes[name] = process
        return process

    def start(self):
        self.launch("log", "log-standin", ["--listen", self.log_address, *self.log_options])
        self.launch("vm-list", "vm-list-standin", ["--listen", self.vm_list_address, "--lag", 1000])
        self.launch("weights", "weights-standin", ["--listen", self.weight_store_address])
        for number in range(1, self.topology["prefill"] + 1):
            self.start_engine("prefill", number)
        for number in range(1, self.topology["decode"] + 1):
            self.start_engine("decode", number)
        for number in range(1, self.topology["plain"] + 1):
            self.launch(f"plain-{number}", "booking-standin", ["--listen", self.plain_address(number)])
        (self.folder / "fleet.key").write_text(secrets.token_hex(32) + "\n")
        number = 0
        for data_centre, count in self.topology["vms"].items():
            for _ in range(count):
                number += 1
                self.vms[f"vm-{number}"] = {"number": number, "data_centre": data_centre}
        wait_until(lambda: send_request(self.log_address, "GET", "/v1/counters").status == 200, START_TIMEOUT_S, "the log stand-in responds")
        wait_until(lambda: send_request(self.vm_list_address, "GET", "/v1/vms").status == 200, START_TIMEOUT_S, "the VM list stand-in responds")
        for vm in self.vms:
            self.start_vm(vm)

    def start_engine(self, role, number):
        address = self.prefill_address(number) if role == "prefill" else self.decode_address(number)
        options = ["--listen", address, "--role", role, "--model", self.topology["model"], "--weight-store", self.weight_store_address]
        self.launch(f"{role}-{number}", "engine-standin", [*options, *self.engine_options])

    def settings(self, vm):
        entry = self.vms[vm]
        seeds = "".join(
            f"  - vm: {seed_vm}\n    address: {self.peer_address(seed_vm)}\n    data_centre: {seed['data_centre']}\n"
            for seed_vm, seed in self.vms.items()
        )
        return (
            f"vm: {vm}\n"
            f"data_centre: {entry['data_centre']}\n"
            f"region: {self.topology['region']}\n"
            f"listen: {self.http_address(vm)}\n"
            f"admin: {self.admin_address(vm)}\n"
            f"peer: {self.peer_address(vm)}\n"
            f"log: {self.log_address}\n"
            f"vm_list: {self.vm_list_address}\n"
            f"fleet_key_file: {self.folder / 'fleet.key'}\n"
            f"seed_peers:\n{seeds}"
        )

    def start_vm(self, vm):
        path = self.folder / f"{vm}.yaml"
        path.write_text(self.settings(vm))
        entry = {"peer_address": self.peer_address(vm), "data_centre": self.vms[vm]["data_centre"], "state": "live"}
        send_request(self.vm_list_address, "PUT", f"/v1/vms/{vm}", entry)
        return self.launch(vm, "plantainpoint-entry", ["--settings", path])

    def deregister_vm(self, vm):
        """Removes the VM from the platform's VM list."""
        send_request(self.vm_list_address, "DELETE", f"/v1/vms/{vm}")

    def send_signal(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def wait_exit(self, name, timeout=STOP_TIMEOUT_S):
        return self.processes.pop(name).wait(timeout)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + 5.0
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()
        if not self.verbose:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Addresses.

    def http_address(self, vm):
        return self.address(1, self.vms[vm]["number"], 8080)

    def peer_address(self, vm):
        return self.address(1, self.vms[vm]["number"], 8090)

    def admin_address(self, vm):
        return self.address(1, self.vms[vm]["number"], 8100)

    def prefill_address(self, number):
        return self.address(2, number, 9000)

    def decode_address(self, number):
        return self.address(2, 100 + number, 9000)

    def plain_address(self, number):
        return self.address(3, number, 9000)

    # Operator commands.

    def example_files(self):
        """Returns a folder with a copy of the deployment's example files, in which the addresses are those of this run."""
        target = self.folder / "services"
        if not target.exists():
            shutil.copytree(ROOT / "examples" / self.name, target)
            for path in target.rglob("*.yaml"):
                path.write_text(path.read_text().replace("127.0.", f"127.{self.slot}."))
        return target

    def publish(self, *options, author="operator"):
        folders = sorted(str(path) for path in self.example_files().iterdir() if path.is_dir())
        return self.publish_folders(folders, *options, author=author)

    def publish_folders(self, folders, *options, author="operator"):
        command = [str(self.build / "plantainpoint-publish"), "--log", self.log_address, "--author", author, *options, *folders]
        return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)

    def run_ctl(self, vm, *arguments):
        command = [str(self.build / "plantainpoint-ctl"), "--admin", self.admin_address(vm), *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)

    def is_healthy(self, vm):
        return send_request(self.admin_address(vm), "GET", "/healthz").status == 200

    def wait_ready(self, timeout=START_TIMEOUT_S):
        for vm in self.vms:
            wait_until(lambda vm=vm: self.is_healthy(vm), timeout, f"{vm} is ready")

    def status(self, vm):
        return send_request(self.admin_address(vm), "GET", "/status").json()

    def counters(self, address):
        return send_request(address, "GET", "/v1/counters").json()


def slot_from_environment():
    """Returns the second octet of the loopback addresses. The process id is the default, so that two runs on one machine use different addresses."""
    return int(os.environ.get("PLANTAINPOINT_SLOT", 16 + os.getpid() % 200))
