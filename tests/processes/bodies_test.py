"""Load that no ordinary caller makes: requests that never end, on many connections, against a
process with little memory and few descriptors.

Each test checks that the process lives, that its resident memory and its open descriptors stay
under their bounds, and that an ordinary request is answered. Nothing depends on the speed of the
machine."""

import os
import pathlib
import socket
import time
import unittest

from crowd import Crowd, repeated
from programs import ADDRESS, Gateway, Serve, memory_bound

KNOWN_RED = (pathlib.Path(__file__).resolve().parents[2] / "KNOWN-RED.txt").read_text()
MEMORY_MB = 64
DESCRIPTORS = 1000
CROWD = 500
FEW_DESCRIPTORS = 300
BODY = 262144
SERVE_BODY = 65536
SERVE_CROWD = 2000
SERVE_DESCRIPTORS = 3000
SECONDS = 8.0
HEAD = (b"POST /o/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n")
SERVE_HEAD = (b"POST /v1/services/s/find HTTP/1.1\r\nHost: h\r\n"
              b"Content-Length: %d\r\n\r\n" % SERVE_BODY)


def chunks(size):
    return b"%x\r\n%s\r\n" % (size, b"x" * size)


def whole_request(target):
    return (f"POST {target} HTTP/1.1\r\nHost: h\r\nX-Request-Id: p\r\n"
            "Content-Length: 4\r\n\r\nbody").encode()


def chunked_crowd(size, body=BODY):
    """Bodies in chunks of that size which stop just short of the limit."""
    chunk = chunks(size)
    count = (body - 1) // size
    return repeated(HEAD, chunk, len(HEAD) + count * len(chunk))


class _Case(unittest.TestCase):
    """Common part of the tests of one program."""

    memory_mb = MEMORY_MB
    descriptors = DESCRIPTORS

    def setUp(self):
        name = f"{type(self).__name__}.{self._testMethodName}"
        if name in KNOWN_RED and "GREENGAGESTAIR_RUN_KNOWN_RED" not in os.environ:
            self.skipTest("listed in KNOWN-RED.txt")

    def start(self, memory_mb=MEMORY_MB, descriptors=DESCRIPTORS, wait=True):
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.program = self.make(memory_mb, descriptors)
        self.addCleanup(self.program.end)
        if wait:
            self.assertTrue(self.program.answers(60.0), "the process does not start")
        self.most_descriptors = 0

    def sample(self):
        self.most_descriptors = max(self.most_descriptors, self.program.process.descriptors())

    def crowd(self, piece, count=CROWD, seconds=SECONDS, **options):
        crowd = Crowd(self.program.port, count, piece, **options)
        self.addCleanup(crowd.close)
        crowd.run(seconds, self.sample)
        return crowd

    def check_bounds(self):
        self.sample()
        self.assertTrue(self.program.process.is_alive(), "the process has ended")
        _, most = self.program.process.memory()
        print(f"{self.id()}: VmHWM {most / 1048576:.1f} MB, descriptors {self.most_descriptors}",
              flush=True)
        self.assertLessEqual(most, memory_bound(self.memory_mb), "memory")
        self.assertLessEqual(self.most_descriptors, self.descriptors, "descriptors")

    def check(self, crowd):
        """Checks while the crowd keeps its connections, and after it has left."""
        self.assertTrue(self.program.answers(), "an ordinary request beside the crowd")
        self.check_bounds()
        crowd.close()
        self.assertTrue(self.program.answers(), "an ordinary request after the crowd")
        self.check_bounds()


class GatewayBodies(_Case):
    def make(self, memory_mb, descriptors):
        return Gateway(memory_mb, descriptors)

    # Guards against bodies that are each below the limit and together beyond the machine's memory.
    def test_large_chunks(self):
        self.start()
        self.check(self.crowd(chunked_crowd(16384)))

    # Guards against bodies whose bookkeeping costs more than their content.
    def test_chunks_of_one_byte(self):
        self.start()
        self.check(self.crowd(chunked_crowd(1)))

    def test_chunks_of_16_bytes(self):
        self.start()
        self.check(self.crowd(chunked_crowd(16)))

    # Guards against memory that is reserved for a length which a caller only states.
    def test_stated_length(self):
        self.start()
        head = (b"POST /o/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: crowd\r\n"
                b"Content-Length: %d\r\n\r\n" % BODY)
        self.check(self.crowd(repeated(head, b"x", len(head) + BODY - 1)))

    # Guards against trailers, which are neither header nor body.
    def test_trailers_without_end(self):
        self.start()
        head = HEAD + chunks(BODY - 1024) + b"0\r\n"
        self.check(self.crowd(repeated(head, b"X-T: " + b"y" * 100 + b"\r\n", 1 << 40)))

    # Guards against chunk extensions, which no limit of the body counts.
    def test_chunk_extensions(self):
        self.start()
        chunk = b"1000;" + b"e=" + b"y" * 1000 + b"\r\n" + b"x" * 4096 + b"\r\n"
        count = BODY // 4096 - 1
        head = HEAD + chunk * count + b"1;"
        self.check(self.crowd(repeated(head, b"z", len(head) + 12_000)))

    # Guards against connections that hold memory before their first request is known.
    def test_header_bytes_one_at_a_time(self):
        self.start()
        self.check(self.crowd(lambda offset: (HEAD[:-2] + b"X-A: ")[offset:offset + 1] or b"a"))

    # Guards against requests that are read ahead behind one in progress, and against answers that
    # pile up for a caller which reads none.
    def test_pipelined_requests(self):
        self.start()
        whole = whole_request("/o/large")
        self.check(self.crowd(repeated(b"", whole, 1 << 40), count=100, receive_bytes=4096))

    def test_pipelined_behind_an_unfinished_body(self):
        self.start()
        whole = whole_request("/o/1")
        chunk = chunks(16384)
        head = whole * 8 + HEAD
        self.check(self.crowd(repeated(head, chunk, len(head) + (BODY // 16384 - 1) * len(chunk))))

    # Guards against memory that is held for bodies which were only announced.
    def test_expect_continue_without_body(self):
        self.start()
        head = (b"POST /o/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: e\r\nExpect: 100-continue\r\n"
                b"Content-Length: %d\r\n\r\n" % BODY)
        self.check(self.crowd(lambda offset: head[offset:]))

    # Guards against answers that nobody reads.
    def test_callers_that_do_not_read(self):
        self.start()
        whole = whole_request("/o/large")
        self.check(self.crowd(lambda offset: whole[offset:], count=200, receive_bytes=4096))

    # Guards against descriptors that run out: then neither callers nor servers nor the store are
    # reached.
    def test_more_connections_than_descriptors(self):
        self.start(descriptors=FEW_DESCRIPTORS)
        self.check(self.crowd(lambda offset: HEAD[offset:]))

    # Guards against work for each connection that outgrows the event loop.
    def test_connections_that_open_and_close(self):
        self.start(descriptors=FEW_DESCRIPTORS)
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            crowd = Crowd(self.program.port, 200, lambda offset: HEAD[offset:])
            crowd.run(0.1, self.sample, 0.01)
            crowd.close()
        self.check(crowd)

    # Guards against limits that hold only once a configuration was read.
    def test_during_the_start(self):
        self.start(wait=False)
        crowd = self.crowd(chunked_crowd(16384), seconds=3.0, replaces_ended=True)
        crowd.run(SECONDS, self.sample)
        self.check(crowd)

    # Guards against a stop that hangs, or that ends in a crash, while bodies are incomplete.
    def test_during_a_stop(self):
        self.start()
        crowd = self.crowd(chunked_crowd(16384), seconds=2.0)
        self.check_bounds()
        self.program.process.popen.terminate()
        crowd.run(2.0, self.sample)
        self.assertEqual(self.program.process.end(), 0)

    # Guards against limits that a caller inside them meets: it sends the largest header and the
    # largest body, as slowly as it may.
    def test_caller_that_uses_every_limit(self):
        self.start()
        fields = (b"POST /o/1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: full\r\n"
                  b"Content-Length: %d\r\n" % BODY)
        filler = 16384 - len(fields) - len(b"X-F: \r\n\r\n") - 1
        head = fields + b"X-F: " + b"f" * filler + b"\r\n\r\n"
        with socket.create_connection((ADDRESS, self.program.port), timeout=30) as caller:
            for turn in range(2):
                caller.sendall(head[:8000])
                time.sleep(2.0)
                caller.sendall(head[8000:])
                # Longer than the limit of the body alone if the header's time counts, too.
                for _ in range(13):
                    time.sleep(1.02)
                    caller.sendall(b"x" * (BODY // 13))
                caller.sendall(b"x" * (BODY - BODY // 13 * 13))
                received = caller.recv(4096)
                self.assertTrue(received.startswith(b"HTTP/1.1 200 "), received[:200])
                if turn == 0:
                    time.sleep(12.0)
        self.check_bounds()


class ServeBodies(_Case):
    def make(self, memory_mb, descriptors):
        return Serve(memory_mb, descriptors)

    # Guards against limits that a caller inside them meets.
    def test_caller_that_uses_every_limit(self):
        self.start()
        fields = (b"POST /v1/services/s/find HTTP/1.1\r\nHost: h\r\n"
                  b"Content-Length: %d\r\n" % SERVE_BODY)
        filler = 16384 - len(fields) - len(b"X-F: \r\n\r\n") - 1
        head = fields + b"X-F: " + b"f" * filler + b"\r\n\r\n"
        with socket.create_connection((ADDRESS, self.program.port), timeout=30) as caller:
            for _ in range(2):
                caller.sendall(head)
                for _ in range(8):
                    time.sleep(1.0)
                    caller.sendall(b"x" * (SERVE_BODY // 8))
                received = caller.recv(4096)
                # Without a configuration the reducer answers that it knows no such service.
                self.assertRegex(received, rb"^HTTP/1.1 [45]\d\d [^{]*{.*\"requestId\"")
        self.check_bounds()

    def start(self, memory_mb=MEMORY_MB, descriptors=SERVE_DESCRIPTORS, wait=True):
        super().start(memory_mb, descriptors, wait)

    # Guards against bodies that are each below the limit and together beyond the machine's memory.
    def test_bodies_without_end(self):
        self.start()
        self.check(self.crowd(repeated(SERVE_HEAD, b"x", len(SERVE_HEAD) + SERVE_BODY - 1),
                              count=SERVE_CROWD))

    def test_chunks(self):
        self.start()
        self.check(self.crowd(chunked_crowd(16384)))

    def test_header_bytes_one_at_a_time(self):
        self.start()
        head = SERVE_HEAD[:-2] + b"X-A: "
        self.check(self.crowd(lambda offset: head[offset:offset + 1] or b"a", count=200))

    def test_pipelined_behind_an_unfinished_body(self):
        self.start()
        head = b"GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n" + SERVE_HEAD
        self.check(self.crowd(repeated(head, b"x", len(head) + SERVE_BODY - 1), count=SERVE_CROWD))

    def test_expect_continue_without_body(self):
        self.start()
        head = SERVE_HEAD[:-2] + b"Expect: 100-continue\r\n\r\n"
        self.check(self.crowd(lambda offset: head[offset:]))

    # Guards against answers that nobody reads.
    def test_callers_that_do_not_read(self):
        self.start()
        page = b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n"
        self.check(self.crowd(repeated(b"", page, 1 << 24), count=200, receive_bytes=4096))

    def test_more_connections_than_descriptors(self):
        self.start(descriptors=FEW_DESCRIPTORS)
        self.check(self.crowd(lambda offset: SERVE_HEAD[offset:]))

    def test_connections_that_open_and_close(self):
        self.start(descriptors=FEW_DESCRIPTORS)
        end = time.monotonic() + 5.0
        while time.monotonic() < end:
            crowd = Crowd(self.program.port, 200, lambda offset: SERVE_HEAD[offset:])
            crowd.run(0.1, self.sample, 0.01)
            crowd.close()
        self.check(crowd)

    def test_during_the_start(self):
        self.start(wait=False)
        crowd = self.crowd(repeated(SERVE_HEAD, b"x", len(SERVE_HEAD) + SERVE_BODY - 1),
                           count=SERVE_CROWD, seconds=3.0, replaces_ended=True)
        crowd.run(SECONDS, self.sample)
        self.check(crowd)

    # Guards against a stop that hangs, or that ends in a crash, while bodies are incomplete.
    def test_during_a_stop(self):
        self.start()
        crowd = self.crowd(repeated(SERVE_HEAD, b"x", len(SERVE_HEAD) + SERVE_BODY - 1),
                           count=SERVE_CROWD, seconds=2.0)
        self.check_bounds()
        self.program.process.popen.terminate()
        crowd.run(2.0, self.sample)
        self.assertEqual(self.program.process.end(), 0)


del _Case

if __name__ == "__main__":
    unittest.main()
