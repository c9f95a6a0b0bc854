"""A worker as a process of its own, so that a signal ends it as the system ends any process.

It gets the arguments of Worker as JSON, writes its entries to the store over HTTP and its record to the standard output. The line "leave" on its standard
input is the notice that it leaves.
"""
import http.client
import json
import sys

from fleet import HOST, Worker, encode_record


class StoreClient:
    def __init__(self, port):
        self.port = port

    def write(self, topic, key, value):
        connection = http.client.HTTPConnection(HOST, self.port, timeout=1)
        try:
            connection.request("POST", f"/api/log-append?topic={topic}&part=0", encode_record(key, value))
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()


class Output:
    def write(self, text):
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


def main():
    arguments = json.loads(sys.argv[1])
    worker = Worker(StoreClient(arguments.pop("store_port")), Output(), **arguments)
    for line in sys.stdin:
        if line.strip() == "leave":
            worker.leave()


if __name__ == "__main__":
    main()
