"""HTTP/1.1 on asyncio streams, as far as callers and backend servers of the soak need it."""

import asyncio


class Broken(Exception):
    """The connection ended, or what came is no HTTP message."""


async def read_message(reader):
    """Reads one message with a Content-Length; returns its first line, headers and body."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:-2]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError, OSError) as error:
        raise Broken(str(error)) from error
    return lines[0], headers, body


def render(first_line, headers, body=b""):
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items()),
             f"Content-Length: {len(body)}"]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def reset(writer):
    """Ends a connection with a reset, as a crashed process does."""
    transport = writer.transport
    if not transport.is_closing():
        transport.abort()


async def call(endpoint, method, target, headers=None, body=b"", timeout=5.0):
    """One request on a connection of its own; returns status and body."""
    host, port = endpoint
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), timeout)
    try:
        writer.write(render(f"{method} {target} HTTP/1.1",
                            {"Host": "soak", "Connection": "close", **(headers or {})}, body))
        first, _, content = await asyncio.wait_for(read_message(reader), timeout)
        return int(first.split()[1]), content
    finally:
        writer.close()
