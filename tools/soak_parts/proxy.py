"""Loopback proxy: forwards TCP connections to one target and injects faults into them."""

import asyncio
import socket
import struct
import time

CHUNK = 65536  # bytes read at a time


class Proxy:
    """Faults hold for new and open connections alike until `heal`."""

    def __init__(self, listen, target):
        self.listen = listen
        self.target = target
        self.delay = 0.0        # seconds before each chunk is passed on
        self.silent_to = False  # nothing reaches the target; no error shows
        self.silent_from = False
        self.refuses = False    # new connections are reset
        self.harmed_at = 0.0    # last moment at which a fault held
        self._pairs = set()
        self._tasks = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._accept, *self.listen)

    def stop(self):
        if self._server:
            self._server.close()
        self.reset_open()
        for task in self._tasks:
            task.cancel()

    def heal(self):
        """New connections work again; those that lost bytes in a silence are reset."""
        if self.silent_to or self.silent_from:
            self.reset_open()
        if self.is_harmed():
            self.harmed_at = time.monotonic()
        self.delay = 0.0
        self.silent_to = self.silent_from = self.refuses = False

    def is_harmed(self):
        return bool(self.silent_to or self.silent_from or self.refuses or self.delay)

    def reset_open(self):
        for writers in list(self._pairs):
            for writer in writers:
                self._reset(writer)

    @staticmethod
    def _reset(writer):
        raw = writer.get_extra_info("socket")
        if raw is not None and not writer.transport.is_closing():
            linger = struct.pack("ii", 1, 0)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _accept(self, reader, writer):
        if self.refuses:
            self._reset(writer)
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self.target)
        except OSError:
            self._reset(writer)
            return
        pair = (writer, target_writer)
        self._pairs.add(pair)
        tasks = [asyncio.create_task(self._pump(reader, target_writer, True)),
                 asyncio.create_task(self._pump(target_reader, writer, False))]
        self._tasks.update(tasks)
        try:
            await asyncio.gather(*tasks)
        except asyncio.CancelledError:
            pass
        finally:
            self._tasks.difference_update(tasks)
            self._pairs.discard(pair)
            for each in pair:
                each.close()

    async def _pump(self, reader, writer, towards_target):
        try:
            while data := await reader.read(CHUNK):
                if self.delay:
                    await asyncio.sleep(self.delay)
                if self.silent_to if towards_target else self.silent_from:
                    continue
                writer.write(data)
                await writer.drain()
            # A silent link hides the end of the other side too.
            while self.silent_to if towards_target else self.silent_from:
                await asyncio.sleep(0.05)
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, RuntimeError):
            self._reset(writer)
