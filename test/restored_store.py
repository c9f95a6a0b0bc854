"""Runs relay VMs against a store that comes back from an older copy, and checks from the caller's side what is in force.

After a restore, offsets go back and are given out again, and what was written since the copy is gone until its writers write it again.
"""
import argparse
import base64
import json
import socket
import sys
import time

from platform_path import HOST, RelayFleet, make_configuration, send_request, start_worker, wait_for, worker_entry

IN_FORCE = 2.0  # Seconds within which a change is in force.


class RestoredStore:
    def __init__(self, build):
        self.fleet = RelayFleet(build, reading_interval="450ms")
        self.version = 0
        self.workers = {}
        self.written = {}  # Sequence number of the last entry of each worker.

    def configure(self, extra_routes=()):
        """Publishes a configuration with routes to the service "desk" under the given prefixes, and returns it."""
        self.version += 3
        configuration = make_configuration(self.version, ["k-1"])
        configuration["tenants"][0].update(rate_per_s=0, burst=0)
        look = next(route for route in configuration["routes"] if route["name"] == "look")
        configuration["routes"] += [{**look, "name": prefix, "path_prefix": f"/{prefix}/"} for prefix in extra_routes]
        self.write_configuration(configuration)
        return configuration

    def write_configuration(self, configuration):
        self.fleet.append_to_log("keyed.op", "config", configuration)

    def add_worker(self, name):
        self.workers[name] = start_worker(name)
        self.write_worker(name)

    def write_worker(self, name, state="ready"):
        self.written[name] = self.written.get(name, 0) + 1
        entry = {**worker_entry(self.workers[name], "desk"), "state": state, "seq": self.written[name]}
        self.fleet.append_to_log("keyed.servers", name, entry)
        return entry

    def remove_worker(self, name):
        self.fleet.append_to_log("keyed.servers", name, b"")

    def copy(self):
        self.fleet.configure_store(copy=True)

    def restore(self, away=0.6, write_again=lambda: None):
        """The store is away, comes back from its copy, and the writers write again before any VM has read it."""
        self.fleet.configure_store(mode="busy")
        time.sleep(away)
        self.fleet.configure_store(mode="up", restore=True)
        write_again()

    def status(self, vm, path):
        return self.fleet.request(vm, path)[0]

    def wait_in_force(self, path, vms=("vm-1", "vm-2"), status=200):
        for vm in vms:
            wait_for(f"{path} has status {status} at {vm}", lambda vm=vm: self.status(vm, path) == status, IN_FORCE)

    def members(self):
        status, body, _ = send_request(self.fleet.store_port, "GET", "/api/log-newest?topic=keyed.members&part=0")
        assert status == 200, f"members: expected status 200, got {status}"
        return {item["key"] for item in json.loads(body)["items"] if base64.b64decode(item["value"])}

    def served_by(self, name, vms=("vm-1", "vm-2"), requests=12):
        """Returns how many of some requests reach the worker."""
        before = len(self.workers[name].received)
        for number in range(requests):
            assert self.status(vms[number % len(vms)], "/look/1") in (200, 502, 503)
        return len(self.workers[name].received) - before


def check_offsets_that_are_given_out_again(store):
    """A change gets an offset that the VMs had read in the era before: what they had reached there is the new end."""
    store.copy()
    store.configure(["a"])
    lost = store.configure(["a", "a2"])
    store.wait_in_force("/a2/1")
    store.restore(write_again=lambda: store.write_configuration(lost))
    time.sleep(1.0)  # The VMs read the new era and tell each other.
    store.configure(["a", "b"])
    store.wait_in_force("/b/1")


def check_more_offsets_than_before(store):
    """The end of the new era is beyond the offset that the VMs have reached: no read is refused, and records before it are new."""
    store.copy()
    lost = store.configure(["b"])
    store.wait_in_force("/b/1")
    store.restore(write_again=lambda: [store.configure(["b", "b2"]), store.write_worker("i-desk")])
    store.wait_in_force("/b2/1")
    assert lost["version"] < store.version


def check_offsets_that_do_not_exist(store):
    """The end of the new era is before the offset that the VMs have reached: a read from there is refused."""
    store.copy()
    for _ in range(4):
        lost = store.configure(["a", "b", "c"])
        for name in store.workers:
            store.write_worker(name)
    store.wait_in_force("/c/1")
    store.restore(write_again=lambda: store.write_configuration(lost))
    time.sleep(0.5)
    store.configure(["a", "b", "c", "d"])
    store.wait_in_force("/d/1")


def check_changes_while_away_for_a_moment(store):
    """No VM notices that the store was away: it is back before the next read."""
    store.copy()
    lost = store.configure(["d", "e"])
    store.wait_in_force("/e/1")
    store.fleet.configure_store(restore=True)
    store.write_configuration(lost)
    changed = store.configure(["d", "e", "f"])
    store.wait_in_force("/f/1")
    return changed


def check_two_restores_in_a_row(store):
    store.copy()
    lost = store.configure(["d", "f", "g"])
    store.wait_in_force("/g/1")
    store.restore(away=0.2)
    time.sleep(0.15)
    store.restore(away=0.2, write_again=lambda: store.write_configuration(lost))
    time.sleep(0.3)
    store.configure(["d", "f", "g", "h"])
    store.wait_in_force("/h/1")
    assert store.status("vm-1", "/g/1") == 200


def check_nothing_comes_back(store):
    """Until the operator writes again, the store holds an older configuration: nobody applies it, a VM that starts included."""
    store.copy()
    lost = store.configure(["h", "i"])
    store.wait_in_force("/i/1")
    store.restore()
    store.fleet.start_relay("vm-3")
    wait_for("vm-3 is ready", lambda: store.fleet.is_ready("vm-3"), 3.0)
    deadline = time.monotonic() + 1.5
    while time.monotonic() < deadline:
        for vm in ("vm-1", "vm-2"):
            assert store.status(vm, "/i/1") == 200, f"{vm} went back to an older configuration"
            assert store.status(vm, "/g/1") == 404, f"{vm} serves a route that was dropped"
        time.sleep(0.05)
    store.wait_in_force("/i/1", ("vm-3",))
    assert store.status("vm-3", "/g/1") == 404, "vm-3 serves a route that was dropped"
    store.write_configuration(lost)
    store.configure(["h", "i", "j"])
    store.wait_in_force("/j/1", ("vm-1", "vm-2", "vm-3"))


def check_workers(store):
    """A worker that was leaving or gone stays so although the copy has it as ready, and one that the copy lacks stays in use."""
    store.add_worker("i-desk-leaving")
    store.add_worker("i-desk-gone")
    wait_for("the workers are used", lambda: store.served_by("i-desk-gone") and store.served_by("i-desk-leaving"))
    store.copy()
    leaving_entry = store.write_worker("i-desk-leaving", "draining")
    store.remove_worker("i-desk-gone")
    store.add_worker("i-desk-new")
    wait_for("the worker is used", lambda: store.served_by("i-desk-new"))
    wait_for("the worker is left alone", lambda: not store.served_by("i-desk-leaving") and not store.served_by("i-desk-gone"))
    store.restore()
    deadline = time.monotonic() + 1.2
    while time.monotonic() < deadline:
        assert store.served_by("i-desk-leaving") == 0, "a worker that leaves got work again"
        assert store.served_by("i-desk-gone") == 0, "a worker that is gone got work again"
        assert store.served_by("i-desk-new") > 0, "a worker that the copy lacks gets no work"
    store.fleet.append_to_log("keyed.servers", "i-desk-leaving", leaving_entry)
    for name in ("i-desk", "i-desk-new"):
        store.write_worker(name)
    time.sleep(2.2)
    assert store.served_by("i-desk-new") > 0, "a worker that has announced itself again gets no work"
    assert store.served_by("i-desk-leaving") == 0
    store.write_worker("i-desk-gone")
    wait_for("a worker that comes back is used", lambda: store.served_by("i-desk-gone"))
    for name in ("i-desk-leaving", "i-desk-gone", "i-desk-new"):
        store.remove_worker(name)
    time.sleep(0.5)


def check_members(store):
    """A VM whose record was lost with the history announces itself again."""
    store.fleet.append_to_log("keyed.members", "vm-2", b"")
    store.copy()
    store.fleet.append_to_log("keyed.members", "vm-2", {"address": f"{HOST}:{store.fleet.relays['vm-2'][1][2]}", "data_centre": "dc-a", "capacity": 0})
    store.restore()
    wait_for("vm-2 has announced itself again", lambda: "vm-2" in store.members(), 3.0)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    store = RestoredStore(parser.parse_args().build)
    fleet = store.fleet
    failures = []
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        store.configure()
        store.add_worker("i-desk")
        for vm in ("vm-1", "vm-2"):
            fleet.start_relay(vm)
        for vm in ("vm-1", "vm-2"):
            wait_for(f"{vm} is ready", lambda vm=vm: fleet.is_ready(vm), 3.0)
        for check in (
            check_offsets_that_are_given_out_again,
            check_more_offsets_than_before,
            check_offsets_that_do_not_exist,
            check_changes_while_away_for_a_moment,
            check_two_restores_in_a_row,
            check_workers,
            check_members,
            check_nothing_comes_back,
        ):
            try:
                check(store)
            except AssertionError as error:
                failures.append(f"{check.__name__}: {error}")
        for failure in failures:
            print(failure)
        assert not failures, f"{len(failures)} of the checks failed"
        print("restored store: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
