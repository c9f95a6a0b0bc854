"""Runs a relay VM against workers that break off their answers, and checks from the caller's side which answers look complete."""
import argparse
import itertools
import socket
import sys
import time

from platform_path import HOST, RelayFleet, make_configuration, start_worker, wait_for, worker_entry

EVENTS = 20
EVENT_SIZE = len(b"id: 1\ndata: piece 1\n\n")


def ask(fleet, path, version="1.1"):
    """Returns the bytes of an answer and whether its connection ended regularly."""
    text = (
        f"POST {path} HTTP/{version}\r\nHost: shop.example\r\nX-Request-Id: id-{time.monotonic_ns()}\r\nX-Deadline-Ms: 3000\r\n"
        "Authorization: Bearer k-1\r\nX-Model: m\r\nX-Token-Count: 5000,20\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    ).encode()
    received = b""
    with socket.create_connection((HOST, fleet.relays["vm-1"][1][0]), timeout=4) as connection:
        connection.sendall(text)
        try:
            while data := connection.recv(4096):
                received += data
        except ConnectionResetError:
            return received, False
    return received, True


def looks_complete(received, version, regular_end):
    if version == "1.0":
        return regular_end and received.startswith(b"HTTP/1.1 200")
    return received.startswith(b"HTTP/1.1 200") and received.endswith(b"\r\n0\r\n\r\n")


def set_workers(workers, **behaviour):
    for worker in workers:
        for name, value in behaviour.items():
            setattr(worker, name, value)


def check_streams(fleet, decoders):
    failures = []
    cuts = {"after the head": 0, "inside the first event": 5, "inside an event": 4 * EVENT_SIZE + 9, "before the end of an event": 4 * EVENT_SIZE - 1}
    for framing, version in itertools.product(("chunks", "length", "close"), ("1.1", "1.0")):
        set_workers(decoders, framing=framing, cut_after=None)
        for path in ("/draft/1", "/resume/1"):
            received, regular_end = ask(fleet, path, version)
            if not looks_complete(received, version, regular_end) or received.count(b"data: piece") != EVENTS:
                failures.append(f"{path} {framing} HTTP/{version}: a whole stream does not look complete: {received[:200]!r}")
        for (place, cut), how in itertools.product(cuts.items(), ("closed", "reset", "finished")):
            # An answer that is finished by its framing before its first event is an empty stream.
            if cut == 0 and how == "finished" and framing != "close":
                continue
            set_workers(decoders, framing=framing, cut_after=cut, cut_how=how)
            name = f"{framing}, {how} {place}, HTTP/{version}"
            received, regular_end = ask(fleet, "/draft/1", version)
            if looks_complete(received, version, regular_end):
                failures.append(f"/draft/1 {name}: looks complete")
            received, regular_end = ask(fleet, "/resume/1", version)
            pieces = [received.count(b"data: piece %d\n" % number) for number in range(1, EVENTS + 1)]
            if looks_complete(received, version, regular_end) and pieces != [1] * EVENTS:
                failures.append(f"/resume/1 {name}: looks complete with {pieces}")
    set_workers(decoders, framing="chunks", cut_after=None)
    return failures


def check_plain_answers(fleet, desks):
    failures = []
    set_workers(desks, framing="close", cut_after=None)
    received, _ = ask(fleet, "/book/1")
    if not received.endswith(b"\r\n\r\nbooked:"):
        failures.append("/book/1 close: a whole answer does not arrive")
    for framing, how in (("close", "reset"), ("length", "reset"), ("length", "closed")):
        set_workers(desks, framing=framing, cut_after=3, cut_how=how)
        for path in ("/book/1", "/look/1"):
            received, _ = ask(fleet, path)
            if not received.startswith((b"HTTP/1.1 502", b"HTTP/1.1 504")):
                failures.append(f"{path} {framing}, {how}: {received[:40]!r}")
    set_workers(desks, framing="length", cut_after=None)
    return failures


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--build", required=True)
    fleet = RelayFleet(parser.parse_args().build)
    desks = [start_worker(f"i-desk-{number}") for number in (1, 2)]
    prefill = start_worker("i-pre", "prefill")
    decoders = [start_worker(f"i-dec-{number}", "decode") for number in (1, 2)]
    set_workers(decoders, event_pause=0.001)
    configuration = make_configuration(7, ["k-1"])
    draft = next(route for route in configuration["routes"] if route["name"] == "draft")
    configuration["tenants"][0].update(rate_per_s=0, burst=0)
    configuration["routes"].append({**draft, "name": "resume", "path_prefix": "/resume/", "resumable": True})
    try:
        wait_for("the store listens", lambda: socket.socket().connect_ex((HOST, fleet.store_port)) == 0, 5.0)
        fleet.start_relay("vm-1")
        fleet.append_to_log("keyed.op", "config", configuration)
        for worker in desks:
            fleet.append_to_log("keyed.servers", worker.name, worker_entry(worker, "desk"))
        fleet.append_to_log("keyed.servers", prefill.name, worker_entry(prefill, "llm", "prefill"))
        for worker in decoders:
            fleet.append_to_log("keyed.servers", worker.name, worker_entry(worker, "llm", "decode"))
        wait_for("vm-1 is ready", lambda: fleet.is_ready("vm-1"))
        time.sleep(0.3)
        failures = check_streams(fleet, decoders) + check_plain_answers(fleet, desks)
        for failure in failures:
            print(failure)
        assert not failures, f"{len(failures)} of the checks failed"
        print("broken streams: ok")
    finally:
        fleet.stop()


if __name__ == "__main__":
    sys.exit(main())
