"""Callers that do not keep to the rules: many connections, each with its own endless bytes."""

import itertools
import socket
import time

from programs import ADDRESS

PIECE_BYTES = 65536


def repeated(prefix, pattern, total):
    """A function that returns the bytes at an offset: the prefix, then the pattern up to `total`
    bytes."""
    block = pattern * (2 * PIECE_BYTES // len(pattern) + 1)

    def piece(offset):
        if offset < len(prefix):
            return prefix[offset:]
        begin = (offset - len(prefix)) % len(pattern)
        length = min(PIECE_BYTES, total - offset)
        return block[begin:begin + max(length, 0)]
    return piece


class Caller:
    """One connection without blocking."""

    def __init__(self, port, piece, receive_bytes=None):
        self.socket = socket.socket()
        if receive_bytes:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
        self.socket.setblocking(False)
        self.socket.connect_ex((ADDRESS, port))
        self._piece = piece
        self.sent = 0
        self.is_open = True

    def advance(self):
        """Sends what the connection takes; returns the number of bytes."""
        if not self.is_open:
            return 0
        try:
            piece = self._piece(self.sent)
            if not piece:
                return 0
            taken = self.socket.send(piece)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self.close()
            return 0
        self.sent += taken
        return taken

    def close(self):
        self.is_open = False
        self.socket.close()


class Crowd:
    """Connections that are open at the same time."""

    def __init__(self, port, count, piece, receive_bytes=None, replaces_ended=False):
        self._make = lambda: Caller(port, piece, receive_bytes)
        self._replaces_ended = replaces_ended
        self.callers = []
        self._count = count

    def run(self, seconds, sample, quiet_seconds=1.0):
        """Sends for that long, or until no connection has taken anything for a while. Calls
        `sample` between the rounds."""
        end = time.monotonic() + seconds
        quiet_since = time.monotonic()
        for turn in itertools.count():
            if len(self.callers) < self._count:
                self.callers += [self._make()
                                 for _ in range(min(64, self._count - len(self.callers)))]
                quiet_since = time.monotonic()
            sent = sum(caller.advance() for caller in self.callers)
            if self._replaces_ended:
                self.callers = [caller for caller in self.callers if caller.is_open]
            sample()
            now = time.monotonic()
            if sent > 0:
                quiet_since = now
            else:
                time.sleep(0.02)
            if now > end or now - quiet_since > quiet_seconds:
                return

    def close(self):
        for caller in self.callers:
            caller.close()
