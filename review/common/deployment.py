"""A small deployment on loopback: the store, workers and limehollow-vm as processes, by the deploy file."""

import asyncio
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

import wire
from store import Store

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMON = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
ZONES = ["dvorana-a", "dvorana-b", "dvorana-c"]


class CannotRun(Exception):
    """The case couldn't run: it shows nothing."""


# The figures of the sheet of "Member Fund Pricing Services".
FIELDS = {
    "bootstrap": True,
    "limits": {"cpu_share": 0.25, "max_fds": 4100, "link_mbps": 1000.0},
    "bounds": {
        "drain_ms": 2000, "grace_s": 8, "config_apply_ms": 2000, "lease_ms": 3000, "budget_ratio": 0.2,
        "budget_slack": 56, "budget_window_s": 10, "ceiling_window_s": 5, "ceiling_over": 1.1,
    },
}


def fill(text, fields):
    """Fills a template as DEPLOY.md says, as far as this deployment's uses it."""

    def look_up(name, entry):
        if name == ".":
            return entry[1] if entry else fields
        at = fields
        for part in name.split("."):
            at = at.get(part) if isinstance(at, dict) else at[int(part)] if part.isdigit() and at else None
        return at

    def plain(v):
        return "" if v is None else "true" if v is True else "false" if v is False else str(v)

    def go(text, entry, last):
        section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)

        def block(m):
            kind, name, inner = m.groups()
            v = look_up(name, entry)
            there = v is not None and v is not False and v != [] and v != {}
            if kind == "^":
                return "" if there else go(inner, entry, last)
            if not there:
                return ""
            if isinstance(v, dict):
                rows = list(v.items())
            elif isinstance(v, list):
                rows = list(enumerate(v))
            else:
                return go(inner, entry, last)
            return "".join(go(inner, row, n == len(rows) - 1) for n, row in enumerate(rows))

        def gap(m):
            name = m.group(1)
            if name == ",":
                return "" if last else ","
            if name == "@":
                return str(entry[0])
            name, _, form = name.partition("|")
            v = look_up(name, entry)
            return json.dumps(v) if form == "json" else plain(v)

        return re.sub(r"\{\{([^#^/}][^}]*)\}\}", gap, section.sub(block, text))

    return go(text, None, True)


def free_ports(hosts, n):
    """Gives ports that are free on all these addresses."""
    out = []
    while len(out) < n:
        port = random.randrange(20000, 32000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as s:
                        s.bind((host, port))
        except OSError:
            continue
        out.append(port)
    return out


class Record:
    """What was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()

    def line(self, *words):
        self.file.write("%8.3f  %s\n" % (time.monotonic() - self.began, " ".join(str(w) for w in words)))
        self.file.flush()


class Deployment:
    """Starts processes, and ends all that it started."""

    def __init__(self, record, vms=(3, 3, 2)):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="limehollow-review-"))
        net = random.randrange(20, 120)
        self.vms = []
        for z, n in enumerate(vms):
            for i in range(n):
                name = f"front-{ZONES[z]}-{i + 1}"
                self.vms.append({"name": name, "zone": ZONES[z], "ip": f"127.{net}.{z + 1}.{i + 1}", "process": None})
        self.workers = {}
        self.version = 0

    async def __aenter__(self):
        self.store = await Store().start()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        self.command = role["run"].split(" ")
        self.template = (ROOT / role["template"]).read_text()
        if not (ROOT / self.command[0]).exists():
            raise CannotRun("the program isn't built")
        hosts = [vm["ip"] for vm in self.vms]
        self.front, self.ready, self.control, self.peer = free_ports(hosts, 4)
        return self

    async def __aexit__(self, *_):
        for vm in self.vms:
            await self.end(vm["process"])
        for w in list(self.workers.values()):
            await self.end(w["process"])
        self.store.server.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def end(self, process):
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    # The system's own processes.

    async def start_vm(self, vm, first=True):
        fields = {
            **FIELDS, "bootstrap": first, "node_name": vm["name"], "zone": vm["zone"], "ip": vm["ip"],
            "zones": {z: "osrednja" for z in ZONES},
            "listen": {"front": f"{vm['ip']}:{self.front}", "readiness_addr": f"{vm['ip']}:{self.ready}"},
            "internal_ports": [self.peer, self.peer],
            "seed_nodes": [f"{v['ip']}:{self.control}" for v in self.vms[::3]][:3],
            "provider": {"address": self.store.address},
        }
        path = self.folder / f"{vm['name']}.conf"
        path.write_text(fill(self.template, fields))
        log = open(self.folder / f"{vm['name']}.log", "ab")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        vm["process"] = await asyncio.create_subprocess_exec(
            *[str(ROOT / self.command[0]), *self.command[1:]], cwd=ROOT, stdout=log, stderr=log,
            stdin=asyncio.subprocess.DEVNULL, env={**env, "LIMEHOLLOW_BOOT": str(path)},
        )
        log.close()
        self.record.line("platform", vm["name"], "started, process", vm["process"].pid)

    def address(self, vm):
        return f"{vm['ip']}:{self.front}"

    async def start_vms(self):
        await asyncio.gather(*[self.start_vm(vm) for vm in self.vms])
        until = time.monotonic() + 15
        for vm in self.vms:
            while True:
                got = await wire.ask(f"{vm['ip']}:{self.ready}", "GET", "/readiness", {"Host": "r"}, within=1)
                if got["status"] == 200:
                    break
                if time.monotonic() > until:
                    raise CannotRun(f"{vm['name']} isn't ready")
                await asyncio.sleep(0.1)
        self.record.line("platform", "all machines are ready")

    # Workers and the operator.

    async def start_worker(self, name, **how):
        """Starts a worker as a process of its own (worker.py)."""
        path = self.folder / f"{name}.json"
        how = {"id": name, "store": self.store.address, "record": str(self.folder / f"{name}.ran"), **how}
        path.write_text(json.dumps(how))
        process = await asyncio.create_subprocess_exec(
            sys.executable, str(COMMON / "worker.py"), str(path),
            stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL,
        )
        said = await process.stdout.readline()
        if not said:
            raise CannotRun(f"worker {name} doesn't start")
        self.workers[name] = {**how, "process": process, "address": said.decode().strip()}
        self.record.line("worker", name, "started in", how["zone"])

    def runs(self):
        """Gives what all workers have written down, by request id."""
        out = {}
        for w in self.workers.values():
            path = pathlib.Path(w["record"])
            for line in path.read_text().splitlines() if path.exists() else []:
                try:
                    row = json.loads(line)
                except ValueError:
                    continue
                out.setdefault(row["id"], []).append({**row, "worker": w["id"]})
        return out

    def busiest(self, but=()):
        """Gives the worker that runs the most requests now."""
        left = {w: 0 for w in self.workers if w not in but}
        for rows in self.runs().values():
            for r in rows:
                if r["worker"] in left:
                    left[r["worker"]] += {"begins": 1, "ends": -1}.get(r["what"], 0) if isinstance(r["what"], str) else 0
        return max(left, key=left.get)

    async def configure(self, routes, services):
        self.version += 3
        config = {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000},
        }
        await self.store.put("keyed.op", "config", config)
        self.record.line("operator", "configuration", self.version, "acknowledged")


def route(name, prefix, kind, service, **more):
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "service": service, "timeout_ms": 15000,
        "target_latency_ms": 1000, "priority": 1, "max_attempts": 1, "resumable": False, **more,
    }


def engine(models):
    """The engine of a service: the sheet's figures with these models."""
    return {
        "slots": 48, "kv_capacity_tokens": 118694, "weights_mb": 200000.0, "adapter_slots": 8, "loads_per_s": 2.1,
        "models": [
            {"name": m, "weights_mb": 65100.0, "load_time_s": 9.0, "adapters": 8, "adapter_mb": 12.0} for m in models
        ],
    }


def service(name, **more):
    return {"name": name, "health_path": "/health", "max_connections": 300, **more}


def run(case):
    """Runs `case(record, trouble)`, which gives the breaches, and ends as the issue says."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(sys.argv[0]).resolve().parent / "record.txt")
    record.line("case", "with" if trouble else "without", "the disruption")

    async def play():
        loop = asyncio.get_running_loop()
        # What the stand-ins still do when the case is over is of no interest.
        loop.set_exception_handler(lambda *_: None)
        # Told to end, it ends what it started.
        for s in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(s, asyncio.current_task().cancel)
        try:
            broken = await asyncio.wait_for(case(record, trouble), 110)
        except BaseException as e:  # whatever it is, the case shows nothing then
            verdict, code = f"couldn't run: {e!r}", 2
        else:
            for b in broken:
                record.line("BROKEN", b)
            verdict, code = (f"{len(broken)} breaches", 1) if broken else ("the rule held", 0)
        record.line("case", verdict)
        print(verdict, flush=True)
        # All processes have ended by now; tasks of the stand-ins that wait are left behind.
        os._exit(code)

    asyncio.run(play())
