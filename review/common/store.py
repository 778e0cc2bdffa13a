"""A stand-in of the platform's store, as PROTOCOL.md describes it: keyed topics, calls that wait, one group."""

import asyncio
import base64
import json
import struct
import time
import urllib.parse

import wire

# Entries of workers go after three heartbeats without a write.
HEARTBEAT_S = 1.2


class Store:
    def __init__(self):
        self.topics = {}
        self.beats = {}
        self.members = {}
        self.generation = 0
        self.owner = None
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await wire.serve("127.0.0.1", 0, self.answer)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        self.lapsing = asyncio.create_task(self.lapse())
        return self

    async def put(self, topic, key, value):
        """Writes a record; None drops the key. Its return is the acknowledgement."""
        raw = b"" if value is None else json.dumps(value).encode()
        await self.append(topic, [(key.encode(), raw)])

    async def append(self, topic, records):
        self.topics.setdefault(topic, []).extend(records)
        # Who waits has the event of before.
        self.changed.set()
        self.changed = asyncio.Event()

    async def lapse(self):
        while True:
            await asyncio.sleep(0.2)
            for key, at in list(self.beats.items()):
                if time.monotonic() - at > 3 * HEARTBEAT_S:
                    del self.beats[key]
                    await self.put("keyed.servers", key, None)

    async def answer(self, method, path, headers, body):
        url = urllib.parse.urlsplit(path)
        q = dict(urllib.parse.parse_qsl(url.query))
        await asyncio.sleep(0.004)
        name = url.path
        if name == "/worker/beat":
            # A worker writes its own entry; what it writes twice isn't a record.
            beat = json.loads(body)
            key, entry = beat["id"], beat["entry"]
            if entry is None:
                self.beats.pop(key, None)
            else:
                self.beats[key] = time.monotonic()
            await self.put("keyed.servers", key, entry)
            return 200, {}, b"{}"
        if name == "/log-append":
            if q["topic"] in ("keyed.servers", "keyed.op"):
                return 403, {}, b""
            log = self.topics.setdefault(q["topic"], [])
            first = len(log)
            await self.append(q["topic"], list(records(body)))
            return 200, {}, json.dumps({"offset": first, "end": len(log)}).encode()
        if name == "/log-read":
            return await self.read(q)
        if name == "/log-newest":
            log = self.topics.get(q["topic"], [])
            newest = {k: (n, v) for n, (k, v) in enumerate(log)}
            items = [
                {"tls_key": k.decode(), "value": base64.b64encode(v).decode(), "offset": n}
                for k, (n, v) in newest.items()
                if v
            ]
            return 200, {}, json.dumps({"items": items, "truncated": False, "end": len(log)}).encode()
        if name == "/log-join":
            return 200, {}, json.dumps(self.join(json.loads(body))).encode()
        if name == "/log-leave":
            member = json.loads(body)["member"]
            if self.members.pop(member, None):
                self.generation += 1
                if self.owner == member:
                    self.owner = None
            return 200, {}, b"{}"
        return 404, {}, b""

    async def read(self, q):
        log = self.topics.setdefault(q["topic"], [])
        first, until = int(q["from"]), time.monotonic() + int(q.get("wait_ms", 0)) / 1000
        while len(log) <= first and (left := until - time.monotonic()) > 0:
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                break
        out = struct.pack(">QQ", len(log), 0)
        for key, value in log[first:]:
            out += struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value
        return 200, {}, out

    def join(self, j):
        now = time.monotonic()
        before = set(self.members)
        self.members[j["member"]] = now + j["ttl_ms"] / 1000
        self.members = {m: t for m, t in self.members.items() if t > now}
        if self.owner not in self.members:
            self.owner = min(self.members)
        if before != set(self.members):
            self.generation += 1
        mine = [[j["topics"][0], 0, 0]] if self.owner == j["member"] else []
        return {"generation": self.generation, "ttl_ms": j["ttl_ms"], "parts": mine}


def records(body):
    while len(body) >= 4:
        (size,) = struct.unpack(">I", body[:4])
        one, body = body[4 : 4 + size], body[4 + size :]
        yield one[1 : 1 + one[0]], one[1 + one[0] :]
