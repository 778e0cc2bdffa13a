"""HTTP/1.1 as far as the stand-ins need it: whole requests in, whole answers out."""

import asyncio


class Broken(Exception):
    """The connection ended before the message did."""


async def read_head(reader):
    """Reads a message's first line and its headers (names in lower case); None at an orderly end before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as e:
        if not e.partial:
            return None
        raise Broken("the head is cut off") from e
    except OSError as e:
        raise Broken(str(e)) from e
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunks(reader, take):
    """Hands the pieces of a chunked body to `take`; raises Broken if the last chunk is missing."""
    try:
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                return
            take(piece)
    except (asyncio.IncompleteReadError, ValueError, OSError) as e:
        raise Broken("a chunk is cut off") from e


async def read_body(reader, headers):
    """Reads a request's body."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        pieces = []
        await read_chunks(reader, pieces.append)
        return b"".join(pieces)
    try:
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, OSError) as e:
        raise Broken("the body is cut off") from e


def message(first, headers, body=b""):
    """Writes a message."""
    lines = [first] + [f"{n}: {v}" for n, v in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def ask(address, method, path, headers, body=b"", within=30.0):
    """Sends one request on a new connection.

    Gives a table: `status` (0 without an answer), `headers`, `body` (what came of it), and `whole`: whether the
    answer's own framing says that it came whole.
    """
    host, port = address.rsplit(":", 1)
    got = {"status": 0, "headers": {}, "body": b"", "whole": False, "why": ""}
    pieces = []
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port), limit=1 << 20)
        writer.write(message(f"{method} {path} HTTP/1.1", {**headers, "Content-Length": len(body)}, body))
        await writer.drain()
        head = await read_head(reader)
        if head is None:
            raise Broken("closed without an answer")
        first, got["headers"] = head
        got["status"] = int(first.split(" ")[1])
        h = got["headers"]
        if "chunked" in h.get("transfer-encoding", "").lower():
            await read_chunks(reader, pieces.append)
        elif "content-length" in h:
            left = int(h["content-length"])
            while left:
                piece = await reader.read(left)
                if not piece:
                    raise Broken("shorter than its length")
                pieces.append(piece)
                left -= len(piece)
        else:
            while piece := await reader.read(1 << 16):
                pieces.append(piece)
        got["whole"] = True

    try:
        await asyncio.wait_for(exchange(), within)
    except asyncio.TimeoutError:
        got["why"] = "no end in time"
    except (Broken, OSError) as e:
        got["why"] = str(e)
    finally:
        if writer is not None:
            writer.close()
    got["body"] = b"".join(pieces)
    return got


async def serve(host, port, answer):
    """Serves whole requests: `answer(method, path, headers, body)` gives status, headers and body, or None to close."""

    async def connection(reader, writer):
        try:
            while head := await read_head(reader):
                first, headers = head
                method, path, _ = first.split(" ")
                body = await read_body(reader, headers)
                res = await answer(method, path, headers, body)
                if res is None:
                    return
                status, extra, out = res
                writer.write(message(f"HTTP/1.1 {status} X", {**extra, "Content-Length": len(out)}, out))
                await writer.drain()
        except (Broken, OSError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 24)
