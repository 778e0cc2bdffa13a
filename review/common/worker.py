"""A stand-in of a worker, as a process of its own: runs requests and tells the store of itself.

Its only argument is a JSON file: `id`, `service`, `zone`, `store`, `record` (where it writes what it runs), `models`,
`adapters`, `pieces` and `every_ms` (an answer's pieces and the time between two), `piece_bytes`, `framed` (whether
answers come in chunks; otherwise they end with their connection), `stream` (whether pieces are events), `on_disk`
(models of which it has a copy), `port` (where it listens; a free one without it).

SIGUSR1: it is told that it is taken away, and says so in its entry (`remaining_ms`).
SIGUSR2: it is in trouble until the next one: it answers some requests (`endless_share`) with 500 and a body in chunks
without end (`endless_mb_s` each).
"""

import asyncio
import json
import random
import signal
import sys

import wire

how = json.load(open(sys.argv[1], encoding="utf-8"))
record = open(how["record"], "a", encoding="utf-8")
SLOTS = how.get("slots", 48)
state = {"trouble": False, "leaving": None, "beats": 0, "orders": 0, "running": 0, "busy": False}
models = {m: list(how.get("adapters", {}).get(m, [])) for m in how.get("models", [])}


def wrote(**row):
    record.write(json.dumps(row) + "\n")
    record.flush()


def held():
    return [{"name": m, "version": 1, "adapters": a} for m, a in models.items()]


async def tell():
    state["beats"] += 1
    entry = {
        "service": how["service"], "address": how["address"], "zone": how["zone"], "version": "v1", "slots": SLOTS,
        "state": "ready" if state["leaving"] is None else "draining", "cold_remaining_ms": 0,
        "stage": "prefill_decode", "models": held(), "sequence": state["beats"],
    }
    if state["leaving"] is not None:
        entry["remaining_ms"] = state["leaving"]
    body = json.dumps({"id": how["id"], "entry": entry}).encode()
    await wire.ask(how["store"], "POST", "/worker/beat", {"Host": "store"}, body, within=2)


def report():
    return json.dumps({
        "stage": "prefill_decode", "models": held(), "busy": state["busy"], "sequence": state["orders"],
        "queued_count": 0, "running_count": state["running"], "kv_used": 0, "kv_total": 118694, "handles": 0,
        "at_hand": {"in_memory": list(models), "on_disk": sorted({*models, *how.get("on_disk", [])})},
    }).encode()


async def order(o):
    if state["busy"] or o.get("expected", state["orders"]) != state["orders"]:
        return 409
    model, adapter, load = o["model"], o.get("adapter"), o["operation"] == "load"
    here = model in models if adapter is None else adapter in models.get(model, [])
    if here == load:
        return 200
    if adapter is not None and model not in models:
        return 421
    state["orders"] += 1
    wrote(id="order", what=o)

    async def carry_out():
        await asyncio.sleep(0.006 if adapter else 2.0 if load else 0.05)
        if adapter is not None:
            (models[model].append if load else models[model].remove)(adapter)
        elif load:
            models[model] = []
        else:
            models.pop(model)
        state["busy"] = False
        await tell()

    state["busy"] = adapter is None
    asyncio.create_task(carry_out())
    return 202


def pieces(rid):
    n = how.get("pieces", 1)
    size = how.get("piece_bytes", 100)
    for i in range(1, n + 1):
        text = f"{rid} {i}/{n} ".ljust(size, ".")
        yield (f"id: {i}\ndata: {text}\n\n" if how.get("stream") else text).encode()


async def run_without_end(writer, rid):
    """Answers with a body that goes on until the caller closes."""
    wrote(id=rid, what="endless", pieces=0)
    head = {"Request-Id": rid, "Content-Type": "text/plain", "Transfer-Encoding": "chunked"}
    writer.write(wire.message("HTTP/1.1 500 Internal Server Error", head))
    piece = b"\0" * (1 << 20)
    while True:
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await writer.drain()
        await asyncio.sleep(1 / how.get("endless_mb_s", 40))


async def run(writer, rid):
    """Runs one request and writes its answer piece by piece."""
    n = how.get("pieces", 1)
    bytes_in_all = sum(len(p) for p in pieces(rid))
    wrote(id=rid, what="begins", pieces=n, bytes=bytes_in_all)
    head = {
        "Request-Id": rid, "Response-Signature": f"3e1b.{rid}", "Weight-Versions": "1",
        "Content-Type": "text/event-stream" if how.get("stream") else "application/octet-stream",
    }
    framed = how.get("framed", True)
    head.update({"Transfer-Encoding": "chunked"} if framed else {"Connection": "close"})
    if state["leaving"] is not None:
        head["Connection"] = "close"
    state["running"] += 1
    try:
        writer.write(wire.message("HTTP/1.1 200 OK", head))
        for p in pieces(rid):
            await asyncio.sleep(how.get("every_ms", 10) / 1000)
            writer.write(b"%x\r\n%s\r\n" % (len(p), p) if framed else p)
            await writer.drain()
        if framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        wrote(id=rid, what="ends", pieces=n)
    finally:
        state["running"] -= 1
    return framed and state["leaving"] is None


async def connection(reader, writer):
    try:
        while head := await wire.read_head(reader):
            first, headers = head
            _, path, _ = first.split(" ")
            body = await wire.read_body(reader, headers)
            rid = headers.get("request-id", "")
            mine = {"Instance-Id": how["id"], **({"Request-Id": rid} if rid else {})}

            def plain(status, more=None, out=b""):
                h = {**mine, **(more or {}), "Content-Length": len(out)}
                writer.write(wire.message(f"HTTP/1.1 {status} X", h, out))

            if headers.get("expect-instance", how["id"]) != how["id"]:
                plain(421)
            elif path == "/health":
                plain(200 if state["leaving"] is None else 503)
            elif path == "/report":
                plain(200, {"Content-Type": "application/json"}, report())
            elif path == "/order":
                plain(await order(json.loads(body)))
            elif not rid:
                plain(400, {"Not-Executed": "1"})
            else:
                model, _, adapter = headers.get("model", "").partition("/")
                if model and (model not in models or (adapter and adapter not in models[model])):
                    plain(421, {"Not-Executed": "1"})
                elif state["trouble"] and random.random() < how["endless_share"]:
                    await run_without_end(writer, rid)
                elif state["running"] >= SLOTS:
                    plain(503, {"Not-Executed": "1"})
                elif not await run(writer, rid):
                    return
            await writer.drain()
    except (wire.Broken, OSError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(connection, "127.0.0.1", how.get("port", 0), limit=1 << 24)
    how["address"] = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]

    def leave():
        state["leaving"] = how.get("remaining_ms", 2000)
        asyncio.create_task(tell())

    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR1, leave)
    asyncio.get_running_loop().add_signal_handler(signal.SIGUSR2, lambda: state.update(trouble=not state["trouble"]))
    await tell()
    print(how["address"], flush=True)
    while True:
        await asyncio.sleep(how.get("heartbeat_ms", 1200) / 1000)
        if state["leaving"] is not None:
            state["leaving"] = max(0, state["leaving"] - how.get("heartbeat_ms", 1200))
        await tell()


asyncio.run(main())
