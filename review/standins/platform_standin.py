"""Stand-ins of the operators' platform on loopback, for the cases of this review.

Written from the pages under ../given: PROTOCOL.md (messages), WIRE-railhub.md (what a proxy does with an order) and
DEPLOY.md (the configuration file). One asyncio process holds discovery, the relay with its store and its proxies, the
hosts, one collector per zone and the clients. The steward is a process of its own, started by the `run` line of
deploy/balancer.toml.

Nothing here knows the code under review.
"""
import asyncio
import ctypes
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

# A connection that the other side has closed is no news here.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Broken(Exception):
    """A rule was broken."""


class CannotRun(Exception):
    """The case could not run."""


def run_command():
    """The `run` line of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            key, _, value = line.partition("=")
            if key.strip() == "run":
                return json.loads(value.strip())
    raise CannotRun("the deploy file has no run line")


def die_with_parent():
    """In the child, before it runs: the kernel ends it if this process is killed."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


def unix_ms():
    return time.time() * 1000.0


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, kind, text=""):
        self.file.write(f"{self.now():9.3f} {kind:<12} {text}\n")


class Host:
    """A host: answers health checks while its process runs; cold after a start."""

    def __init__(self, bench, name, zone, kind, cores, speed, address):
        self.bench, self.name, self.zone, self.kind = bench, name, zone, kind
        self.cores, self.speed, self.address = cores, speed, address
        self.started_ms = 0
        self.server = None
        self.draining = False
        self.recent = []  # (time, seconds of work)
        self.connections = set()
        self.silent = []  # sockets that hold the address while the machine is gone

    @property
    def up(self):
        return self.server is not None

    async def start(self, first=False):
        ip, port = self.address
        for held in self.silent:
            held.close()
        self.silent = []
        for _ in range(50):
            try:
                self.server = await asyncio.start_server(self.serve, ip, port, reuse_address=True)
                break
            except OSError:
                await asyncio.sleep(0.1)
        if self.server is None:
            raise CannotRun(f"the address of {self.name} is taken")
        if port == 0:
            self.address = self.server.sockets[0].getsockname()[:2]
        self.started_ms = 0 if first else int(unix_ms())
        self.draining = False
        self.recent = []
        self.bench.record("host", f"{self.name} runs at {self.address[0]}:{self.address[1]}")

    def die(self):
        if self.server:
            self.server.close()
            self.server = None
            for writer in list(self.connections):
                writer.transport.abort()
            self.bench.record("host", f"{self.name} dies")

    async def vanish(self):
        """The machine is gone: open connections stay silent, new ones never come up. A listening socket whose queue is
        full does the same on loopback: the kernel drops further attempts."""
        self.server.close()
        self.server = None
        await asyncio.sleep(0)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(0)
        self.silent = [listener]
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.silent.append(filler)
        self.bench.record("host", f"{self.name} vanishes")

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            request = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 5)
            status = "503 Service Unavailable" if self.draining else "200 OK"
            body = f"util={self.utilization():.2f}" if b"/metrics/load" in request.split(b"\r\n")[0] else ""
            head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}"
            writer.write(head.encode())
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError, asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def utilization(self):
        now = time.monotonic()
        self.recent = [item for item in self.recent if item[0] > now - 1.0]
        return min(1.0, sum(work for _, work in self.recent) / (self.cores * self.speed))

    def entry(self, lifecycle="ready"):
        return {
            "instanceId": self.name,
            "hostPort": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "machineType": self.kind,
            "cell": 0,
            "lifecycle": lifecycle,
            "weight": float(self.cores),
            "startedAtMs": self.started_ms,
        }


class Discovery:
    """The agent on the steward's machine: whole list and changes over a watch."""

    def __init__(self, bench):
        self.bench = bench
        self.generation = 41
        self.entries = {}  # host -> entry that stands; gone hosts have none
        self.changes = []  # (generation, entry)
        self.listed_ever = set()
        self.told = {}  # host -> entry as last written to the steward
        self.writers = set()
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]

    def set_initial(self, hosts):
        for host in hosts:
            self.entries[host.name] = host.entry()
            self.listed_ever.add(host.name)

    def page(self, after=None):
        if after is None:
            entries, reset = list(self.entries.values()), True
        else:
            latest = {}
            for generation, entry in self.changes:
                if generation > after:
                    latest[entry["instanceId"]] = entry
            entries, reset = list(latest.values()), False
        return {"generation": self.generation, "reset": reset, "instances": entries}

    def change(self, entry):
        """The list changes; the change is written to every watch at once."""
        name = entry["instanceId"]
        self.generation += 1
        self.changes.append((self.generation, entry))
        self.listed_ever.add(name)
        if entry["lifecycle"] == "gone":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        page = {"generation": self.generation, "reset": False, "instances": [entry]}
        for writer in list(self.writers):
            self.write_page(writer, page)

    def write_page(self, writer, page):
        self.chunk(writer, json.dumps(page) + "\n")
        if page["reset"]:
            self.told = {}
        for entry in page["instances"]:
            self.told[entry["instanceId"]] = entry
            self.bench.record("told", f"{entry['instanceId']} {entry['lifecycle']} generation {page['generation']}")

    @staticmethod
    def chunk(writer, text):
        data = text.encode()
        writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def serve(self, reader, writer):
        try:
            request = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10)
            target = request.split(b" ")[1].decode()
            if "watch=1" not in target:
                body = json.dumps(self.page()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                return
            after = int(target.split("after=")[1].split("&")[0]) if "after=" in target else 0
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            self.bench.record("discovery", f"watch opened after generation {after}")
            known = 41 <= after <= self.generation
            if known and after == self.generation:
                self.chunk(writer, "\n")
            else:
                self.write_page(writer, self.page(after if known else None))
            self.writers.add(writer)
            while True:
                await asyncio.sleep(2.0)
                self.chunk(writer, "\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Proxy:
    """A proxy: follows its tables, withdrawals and levels, and nothing else."""

    def __init__(self, number, zone, rate):
        self.number, self.zone, self.rate = number, zone, rate
        self.start()

    def start(self):
        """A process of the proxy that has just started: it holds nothing."""
        self.alive = True
        self.joined = False
        self.fresh = True  # holds no table that was ordered
        self.tables = {}
        self.withdrawn = set()
        self.levels = {}  # class -> (level, retry)
        self.empty_since = {}
        self.joined_at = 0.0
        self.received = []  # times of messages
        self.last_arrival = 0.0

    def lines(self, table):
        held = self.tables.get(table, {})
        return {host: weight for host, weight in held.items() if weight > 0 and host not in self.withdrawn}


class Relay:
    """The relay, which is the store as well: news, calls, the channel to the proxies."""

    def __init__(self, bench, lines_per_s, head, late_ms):
        self.bench = bench
        self.lines_per_s, self.head, self.late_ms = lines_per_s, head, late_ms
        self.store = {}  # table -> {host: weight}
        self.subscribers = set()
        self.channel_free_at = 0.0
        self.channel_epoch = 0  # raised when the steward dies: what waits or travels is lost
        self.calls = 0
        self.call_fault = None  # function(call number) -> None or "reset" or "silent"
        self.messages = []  # (time, proxy, call)
        self.waiting = 0
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = self.server.sockets[0].getsockname()[:2]

    def notify(self, method, **params):
        line = json.dumps({"jsonrpc": "2.0", "method": method, "params": params}) + "\n"
        for writer in list(self.subscribers):
            writer.write(line.encode())

    async def serve(self, reader, writer):
        try:
            while True:
                line = await reader.readline()
                if not line.endswith(b"\n"):
                    return
                message = json.loads(line)
                if message.get("method") == "subscribe":
                    await self.subscribe(message, writer)
                    return
                self.calls += 1
                fault = self.call_fault(self.calls) if self.call_fault else None
                taken = self.commit(message["params"]["orders"])
                if fault == "reset":
                    self.bench.record("relay", f"call {message['id']} carried out, its connection is reset")
                    writer.transport.abort()
                    return
                if fault == "silent":
                    self.bench.record("relay", f"call {message['id']} carried out, no answer")
                    await asyncio.sleep(5)
                    return
                answer = {"jsonrpc": "2.0", "id": message["id"], "result": {"taken": taken}}
                self.bench.record("answer", f"call {message['id']} taken {taken}")
                writer.write((json.dumps(answer) + "\n").encode())
                await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            self.subscribers.discard(writer)
            writer.close()

    async def subscribe(self, message, writer):
        self.bench.record("relay", "a subscription: what stands is told")
        lines = [{"jsonrpc": "2.0", "id": message["id"], "result": True}]
        for proxy in self.bench.proxies:
            if proxy.joined:
                lines.append(self.joined_line(proxy))
        for table in sorted(self.store):
            lines.append({"jsonrpc": "2.0", "method": "given", "params": {"slice": table, "on": True}})
            for host, weight in self.store[table].items():
                params = {"slice": table, "server": host, "weight": weight}
                lines.append({"jsonrpc": "2.0", "method": "held", "params": params})
        writer.write("".join(json.dumps(line) + "\n" for line in lines).encode())
        self.subscribers.add(writer)
        while True:
            await asyncio.sleep(1.0)
            writer.write(b'{"jsonrpc":"2.0","method":"ping"}\n')
            await writer.drain()

    @staticmethod
    def joined_line(proxy):
        params = {"proxy": proxy.number, "zone": proxy.zone, "weight": float(proxy.rate), "fresh": proxy.fresh}
        return {"jsonrpc": "2.0", "method": "joined", "params": params}

    def join(self, proxy):
        proxy.joined = True
        proxy.joined_at = time.monotonic()
        proxy.received = []
        self.bench.record("joined", f"proxy {proxy.number} fresh {proxy.fresh}")
        line = json.dumps(self.joined_line(proxy)) + "\n"
        for writer in list(self.subscribers):
            writer.write(line.encode())
        asyncio.get_running_loop().call_later(random.uniform(0.09, 0.43), self.read_store, proxy)

    def read_store(self, proxy):
        if proxy.alive:
            for table, lines in self.store.items():
                proxy.tables[table] = dict(lines)

    def leave(self, proxy):
        if proxy.joined:
            proxy.joined = False
            self.bench.record("left", f"proxy {proxy.number}")
            self.notify("left", proxy=proxy.number)

    def steward_died(self):
        """What waits or travels is lost and the streams break; proxies carry on with what they hold."""
        self.channel_epoch += 1
        self.channel_free_at = 0.0
        for proxy in self.bench.proxies:
            self.leave(proxy)

    def commit(self, orders):
        """Carries a call out: the store at once, the proxies by one message each over the channel."""
        taken = []
        for order in orders:
            if not self.usable(order):
                break
            taken.append(order)
            if order["op"] == "share" and order["table"] in self.store:
                table = self.store[order["table"]]
                if order["weight"] > 0:
                    table[order["server"]] = order["weight"]
                else:
                    table.pop(order["server"], None)
            elif order["op"] == "clear":
                self.store[order["table"]] = {}
        text = " ".join(self.describe(order) for order in taken)
        self.bench.record("call", f"{len(taken)} of {len(orders)} orders: {text}")
        joined = [proxy for proxy in self.bench.proxies if proxy.joined]
        now = time.monotonic()
        for proxy in joined:
            lines = self.head + len(taken)
            self.channel_free_at = max(self.channel_free_at, now) + lines / self.lines_per_s
            late = random.uniform(self.late_ms[0], self.late_ms[1]) / 1000.0
            # In order: never at the same moment as the message before it.
            arrival = max(self.channel_free_at + late, proxy.last_arrival + 0.0005)
            proxy.last_arrival = arrival
            self.messages.append((now, proxy.number))
            self.bench.on_message(proxy, self.channel_free_at)
            ordered_at = now
            asyncio.get_running_loop().call_later(
                arrival - now, self.arrive, proxy, proxy.joined_at, self.channel_epoch, list(taken), ordered_at
            )
        return len(taken)

    def usable(self, order):
        if "server" in order and order["server"] not in self.bench.discovery.listed_ever:
            return False
        return order.get("weight", 0) >= 0 and order.get("level", 0) >= 0

    @staticmethod
    def describe(order):
        rest = ",".join(f"{key}={value}" for key, value in order.items() if key != "op")
        return f"{order['op']}({rest})"

    def arrive(self, proxy, joined_at, epoch, orders, ordered_at):
        if not proxy.joined or proxy.joined_at != joined_at or epoch != self.channel_epoch:
            return
        proxy.fresh = False
        for order in orders:
            op = order["op"]
            if op == "share":
                table = proxy.tables.setdefault(order["table"], {})
                if order["weight"] > 0:
                    table[order["server"]] = order["weight"]
                else:
                    table.pop(order["server"], None)
            elif op == "clear":
                proxy.tables[order["table"]] = {}
            elif op == "withdraw":
                proxy.withdrawn.add(order["server"])
            elif op == "restore":
                proxy.withdrawn.discard(order["server"])
            elif op == "admit":
                for name in order.get("classes", self.bench.class_names):
                    proxy.levels[name] = (order["level"], order["retry"])
            elif op == "mark":
                took = (time.monotonic() - ordered_at) * 1000.0
                self.notify("applied", proxy=proxy.number, mark=order["ticket"], took_ms=took)


class Bench:
    """One run: the parties, the steward's process, the clients, and the record."""

    def __init__(self, folder, config, hosts, proxies, classes, slices, zones):
        self.folder = folder
        self.record = Record(folder)
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.base = config
        self.classes, self.class_names = classes, [name for name, *_ in classes]
        self.zones = zones
        self.slices = slices
        self.discovery = Discovery(self)
        self.hosts = {}
        self.host_list = hosts(self)
        for host in self.host_list:
            self.hosts[host.name] = host
        self.proxies = proxies
        self.relay = None
        self.steward = None
        self.steward_answered_at = None
        self.heard, self.heat = {}, {}
        self.reported_at, self.started_at = {}, time.monotonic()
        self.outcomes = {"answered": 0, "refused": 0, "failed": 0}
        self.steady = False
        self.message_listener = None
        self.listen = None
        self.tasks = []

    def on_message(self, proxy, leaves_channel_at):
        if self.message_listener:
            self.message_listener(proxy, leaves_channel_at)

    def spawn(self, coroutine):
        self.tasks.append(asyncio.create_task(coroutine))

    async def start(self, lines_per_s, head, late_ms):
        for host in self.host_list:
            await host.start(first=True)
        await self.discovery.start()
        self.discovery.set_initial(self.host_list)
        self.relay = Relay(self, lines_per_s, head, late_ms)
        await self.relay.start()
        names = [host.name for host in self.host_list]
        random.shuffle(names)
        for table in range(self.slices):
            self.relay.store[table] = {names[table % len(names)]: 1.0}
        for proxy in self.proxies:
            proxy.fresh = True
            proxy.joined = True
            proxy.joined_at = time.monotonic()
            self.relay.read_store(proxy)
        for zone in self.zones:
            self.spawn(self.collect(zone))
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.listen = probe.getsockname()[:2]
        self.known = self.discovery.page()
        await self.start_steward()
        for proxy in self.proxies:
            self.spawn(self.clients(proxy))

    def config(self):
        return {
            "name": "n0",
            "listen": "%s:%d" % self.listen,
            "discovery": "%s:%d" % self.discovery.address,
            "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": "127.0.0.1:9",
            "peers": ["127.0.0.1:9"],
            "peers_all": "127.0.0.1:9",
            "registry": {"address": "%s:%d" % self.relay.address},
            "known": self.known,
            "settings": self.base,
        }

    async def start_steward(self):
        path = os.path.join(self.temp, "config.json")
        with open(path, "w") as file:
            json.dump(self.config(), file)
        command = run_command()
        listen = "%s:%d" % self.listen
        environment = dict(
            os.environ, NODE_NAME="n0", NODE_LISTEN=listen, NODE_CONFIG=path,
            NODE_DISCOVERY="%s:%d" % self.discovery.address, TMPDIR=self.temp,
        )
        self.log = open(os.path.join(self.temp, "steward.log"), "ab")
        self.steward = subprocess.Popen(
            ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=self.log, stderr=self.log,
            preexec_fn=die_with_parent,
        )
        deadline = time.monotonic() + 30
        while time.monotonic() < deadline:
            if self.steward.poll() is not None:
                raise CannotRun(f"the steward ended with {self.steward.returncode} at its start")
            if await self.ping():
                self.steward_answered_at = time.monotonic()
                self.record("steward", f"process {self.steward.pid} answers")
                return
            await asyncio.sleep(0.02)
        raise CannotRun("the steward does not answer")

    async def restart_steward(self, redial_s):
        """Starts the steward from nothing. Each proxy that runs dials again within the given span."""
        await self.start_steward()
        for proxy in self.proxies:
            if proxy.alive and not proxy.joined:
                asyncio.get_running_loop().call_later(random.uniform(*redial_s), self.relay.join, proxy)

    async def ping(self):
        try:
            reader, writer = await asyncio.open_connection(*self.listen)
            writer.write(frame({"t": "ping"}))
            answer = await asyncio.wait_for(reader.readexactly(4 + len('{"t":"pong"}')), 1)
            writer.close()
            return answer.endswith(b'{"t":"pong"}')
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    def kill_steward(self):
        self.steward.send_signal(signal.SIGKILL)
        self.steward.wait()
        self.steward_answered_at = None
        self.relay.steward_died()
        self.known = self.discovery.page()
        self.record("steward", "killed")

    async def collect(self, zone):
        """The collector of a zone: connects again and again, sends sums each second."""
        while True:
            try:
                _, writer = await asyncio.open_connection(*self.listen)
                writer.write(frame({"t": "collector", "zone": zone}))
                while True:
                    await asyncio.sleep(1.0)
                    self.report(zone, writer)
                    await writer.drain()
            except (OSError, TypeError):
                await asyncio.sleep(0.3)

    def span_ms(self, pair):
        """Pairs with no try are not reported, so a report covers the time since the pair's last one."""
        now = time.monotonic()
        last = self.reported_at.get(pair, self.started_at)
        self.reported_at[pair] = now
        return max(100.0, min(60000.0, (now - last) * 1000.0))

    def report(self, zone, writer):
        for host, (tries, failed, total) in self.heard.pop(zone, {}).items():
            good = tries - failed
            message = {
                "t": "heard", "zone": zone, "server": host, "tries": tries, "failed": failed,
                "mean_ms": total / good if good else 0.0, "span_ms": self.span_ms((zone, host)),
            }
            if self.hosts[host].up and good:
                message["load"] = {"util": round(self.hosts[host].utilization(), 3)}
            writer.write(frame(message))
        if zone == self.zones[0]:
            heat, self.heat = self.heat, {}
            for (table, name), (tries, failed) in heat.items():
                span_ms = self.span_ms((table, name))
                message = {"t": "heat", "slice": table, "class": name, "tries": tries, "failed": failed, "span_ms": span_ms}
                writer.write(frame(message))

    async def clients(self, proxy):
        """Operations that come to one proxy, each routed as the proxy's tables say. On a steady day they come at even
        intervals, to all slices alike, and cost alike."""
        number = proxy.number * 7
        while True:
            await asyncio.sleep(1.0 / proxy.rate if self.steady else random.expovariate(proxy.rate))
            number += 1
            table = number % self.slices if self.steady else random.randrange(self.slices)
            cls = self.classes[number // self.slices % len(self.classes)] if self.steady else random.choice(self.classes)
            if proxy.alive:
                asyncio.create_task(self.operate(proxy, table, cls))

    async def operate(self, proxy, table, cls):
        name, work, *_ = cls
        heat = self.heat.setdefault((table, name), [0, 0])
        heat[0] += 1
        if random.random() >= proxy.levels.get(name, (1.0, 1))[0]:
            self.outcomes["refused"] += 1
            return
        lines = proxy.lines(table)
        if not lines:
            await asyncio.sleep(0.2)
            lines = proxy.lines(table)
        if not lines:
            self.outcomes["refused"] += 1
            heat[1] += 1
            self.record("refused", f"proxy {proxy.number} slice {table}: no line to pick")
            return
        tried = None
        for _ in range(2):
            choice = {host: weight for host, weight in lines.items() if host != tried}
            if not choice:
                break
            host = self.hosts[random.choices(list(choice), list(choice.values()))[0]]
            heard = self.heard.setdefault(proxy.zone, {}).setdefault(host.name, [0, 0, 0.0])
            if host.up and not host.draining:
                seconds = (1.0 if self.steady else random.lognormvariate(0, 0.4)) * work / host.speed
                host.recent.append((time.monotonic(), seconds * host.speed))
                await asyncio.sleep(seconds)
                if host.up:
                    heard[0] += 1
                    heard[2] += seconds * 1000.0
                    self.outcomes["answered"] += 1
                    return
                heard[0] += 1
                heard[1] += 1
                break
            heard[0] += 1
            heard[1] += 1
            tried = host.name
            if host.silent:
                await asyncio.sleep(0.25)  # the proxy's connect time-out
            lines = proxy.lines(table)
        heat[1] += 1
        self.outcomes["failed"] += 1

    def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.steward and self.steward.poll() is None:
            self.steward.kill()
            self.steward.wait()
        for host in self.host_list:
            host.die()
            for held in host.silent:
                held.close()
        log = os.path.join(self.temp, "steward.log")
        if os.path.exists(log):
            with open(log, errors="replace") as file:
                for line in file:
                    if "resource usage" not in line and "controller status" not in line:
                        self.record.file.write("steward log  " + line)
        shutil.rmtree(self.temp, ignore_errors=True)


def frame(message):
    body = json.dumps(message).encode()
    return struct.pack(">I", len(body)) + body


def settings(classes, zones, kinds, slices, proxies, family, rules):
    """The settings object, with the names of WIRE-railhub.md."""
    return {
        "balancers": 1,
        "ceilings": {
            "conn_idle_us": 15000000, "connect_timeout_us": 250000, "cpu_us_per_s": 600000, "max_streams": 100,
            "peer_messages": True, "probes": True,
        },
        "discovery": "automatic",
        "family_info": {
            "conns_least": 800.0, "data_plane_size": proxies, "ejects": 8, "exclusive": False, "first_wait": 1.0,
            "homed_by_zone": False, "key_ranges": slices, "pick": "two", "push_price": 0.04, "shift_fee": 0.005,
            "standing": 6, "throttle_by": "share", "usual_how": 1, "warm_keys": True,
            "write_classes": [write for *_, write in classes], "write_lease_us": 2500000, "write_life_us": 1520000,
            "zone_bound": [False for _ in classes], **family,
        },
        "host_types": kinds,
        "objective_mix": {"whole": 0.5, "worst_window": 0.2, "worst_class": 0.1},
        "request_classes": [
            {
                "name": name, "aim_us": aim, "hard_limit_us": hard, "worth": worth, "effect": effect, "group": "all",
                "key_ttl_us": 2500000, "late_value": 0.1,
            }
            for name, _, aim, hard, worth, effect, _ in classes
        ],
        "slot_no": 0,
        "telemetry": {"how": "answers", "names": ["busy", "rate"]},
        "rules": rules,
        "tick_us": 4000,
        "weights": "rough",
        "value_by": "request",
        "zone": zones[0],
        "zones": zones,
    }


def main(case, folder, limit):
    """Runs a case: exit 1 if a rule was broken, 0 if it held, 2 if the case could not run."""
    sys.stdout.reconfigure(line_buffering=True)
    random.seed(int(os.environ.get("SEED", "1")))
    bench_box = []

    async def run():
        task = asyncio.current_task()
        for end in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(end, task.cancel)
        try:
            await asyncio.wait_for(case(bench_box), limit)
        finally:
            if bench_box:
                bench_box[0].stop()

    try:
        asyncio.run(run())
    except Broken as broken:
        if bench_box:
            bench_box[0].record("VERDICT", f"broken: {broken}")
        print(f"broken: {broken}")
        return 1
    except (Exception, asyncio.CancelledError) as error:  # whatever else happened, the case did not run
        if bench_box:
            bench_box[0].record("VERDICT", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        return 2
    if bench_box:
        bench_box[0].record("VERDICT", "held")
    print("held")
    return 0
