"""Servers that send bytes without end instead of a response, to many requests at once.

Each test checks that the process lives, that its resident memory stays under its bound, that it
counts why the responses were not accepted, and that an ordinary request is answered. Nothing
depends on the speed of the machine."""

import http.client
import socket
import threading
import time
import unittest

from programs import ADDRESS, Gateway, Serve, call, free_ports, memory_bound

MEMORY_MB = 64
CALLERS = 40
# What a server sends at most, so that a test ends in any case. One such response is beyond the bound.
MOST_BYTES = 256 * 1024 * 1024
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "status-line": (b"", b"x"),
    "field": (OK + b"A: ", b"b"),
    "fields": (OK, b"A: b\r\n"),
    "interim": (b"", b"HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n"),
    "body": (OK + b"\r\n", b"b"),
    "chunks": (CHUNKED, b"4\r\nabcd\r\n"),
    "trailer": (CHUNKED + b"0\r\n", b"A: b\r\n"),
}


class EndlessServer:
    """Answers each request on its port with bytes without end."""

    def __init__(self, port, head, repeated):
        self._head = head
        self._block = repeated * (65536 // len(repeated))
        self._listener = socket.create_server((ADDRESS, port), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        with connection:
            try:
                received = b""
                while b"\r\n\r\n" not in received:
                    received += connection.recv(4096) or b"\r\n\r\n"
                connection.sendall(self._head)
                for _ in range(MOST_BYTES // len(self._block)):
                    connection.sendall(self._block)
            except OSError:
                pass

    def end(self):
        self._listener.close()


class ResponsesWithoutEnd(unittest.TestCase):
    def check_bounds(self, program, port):
        self.assertTrue(program.process.is_alive(), "the process has ended")
        self.assertTrue(program.answers(), "an ordinary request")
        _, most = program.process.memory()
        print(f"{self.id()}: VmHWM {most / 1048576:.1f} MB", flush=True)
        self.assertLessEqual(most, memory_bound(MEMORY_MB), "memory")
        self.assertTrue(self.shows(port, "malformed_responses_total{source="), "no counter")

    def shows(self, port, text):
        """True if the metrics hold that text within some time."""
        for _ in range(200):
            if text in call(port, "GET", "/metrics")[1].decode():
                return True
            time.sleep(0.1)
        return False

    # Guards against a backend server that takes the memory of a gateway, and so ends the requests
    # of other callers.
    def test_backend_servers_of_a_gateway(self):
        for kind, (head, repeated) in ENDLESS.items():
            with self.subTest(kind):
                (port,) = free_ports(1)
                server = EndlessServer(port, head, repeated)
                self.addCleanup(server.end)
                program = Gateway(MEMORY_MB, 1000)
                self.addCleanup(program.end)
                self.assertTrue(program.answers(60.0), "the process does not start")
                program.add_server("endless", "i-2", port)
                self.assertTrue(self.shows(program.admin, "_registered_servers 2\n"))
                callers = [threading.Thread(target=self.request, args=(program.port,))
                           for _ in range(CALLERS)]
                for caller in callers:
                    caller.start()
                for caller in callers:
                    caller.join()
                self.check_bounds(program, program.admin)

    def request(self, port):
        try:
            status, body = call(port, "POST", "/endless/1", b"", {
                "Host": "h", "X-Request-Id": "endless", "X-Deadline-Ms": "3000"}, timeout=20.0)
        except (OSError, http.client.HTTPException):
            return
        self.assertIn(status, (502, 503, 504))
        self.assertLess(len(body), 100)

    # Guards against a platform that takes the memory of an entry host.
    def test_platform_of_an_entry_host(self):
        for kind, (head, repeated) in ENDLESS.items():
            with self.subTest(kind):
                program = Serve(MEMORY_MB, 1000, lambda port, h=head, r=repeated:
                                EndlessServer(port, h, r))
                self.addCleanup(program.end)
                self.assertTrue(program.answers(60.0), "the process does not start")
                self.check_bounds(program, program.port)


if __name__ == "__main__":
    unittest.main()
