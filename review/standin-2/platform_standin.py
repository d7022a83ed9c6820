"""Stand-ins of the operators' platform for the cases of this review: relay and store, proxies with their clients,
hosts, discovery and collectors. All of them live in one process and speak the platform's protocol on loopback to real
stewards, which are started with `run` of deploy/balancer.toml.

Where the pages are silent, the stand-ins behave well: nothing is lost, late or repeated unless a case says so.
Proxies and hosts meet inside this process; what they do is written to record.txt.
"""
import asyncio
import json
import logging
import os
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

INF = float("inf")
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))


def run_command():
    """The command of the deploy file that starts a steward."""
    text = open(os.path.join(ROOT, "deploy", "balancer.toml")).read()
    return re.search(r'^run = "(.*)"$', text, re.M).group(1)


# A loopback address of this process alone: connections of other programs cannot take a port of it meanwhile.
ADDRESS = f"127.{64 + (os.getpid() >> 16) % 64}.{(os.getpid() >> 8) % 256}.{1 + os.getpid() % 254}"


PORTS = set()


def free_port():
    """A free port of that address, each only once."""
    while True:
        with socket.socket() as probe:
            probe.bind((ADDRESS, 0))
            port = probe.getsockname()[1]
        if port not in PORTS:
            PORTS.add(port)
            return port


class CannotRun(Exception):
    """The case could not run: nothing is said about the rule."""


class Host:
    """A host with a queue, whose capacity rises evenly from the cold share to the full one after a start."""

    def __init__(self, world, name, zone, cores=4.0, speed=1.0, max_wait=1.0):
        self.world, self.name, self.zone = world, name, zone
        self.cores, self.speed, self.max_wait = cores, speed, max_wait
        self.up, self.fallen, self.lifecycle = True, False, "ready"
        self.started_at, self.listed_start = None, None  # None: long ago; the list learns of a start later
        self.queue, self.queue_at = 0.0, world.now()
        self.in_hand = {}  # slice -> writes in hand
        self.out = 0
        self.port = free_port()
        self.server = None
        self.arrivals = []  # while cold: (time, work, sent by a proxy that knew)

    def warm_fraction(self, at):
        if self.started_at is None:
            return 1.0
        rules = self.world.rules
        progress = (at - self.started_at) / (rules["warm_within_us"] / 1e6)
        return min(1.0, rules["cold_from"] + (1.0 - rules["cold_from"]) * max(0.0, progress))

    def capacity(self, at):
        return self.cores * self.speed * self.warm_fraction(at)

    async def serve(self):
        async def answer(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                if self.up:
                    status = b"200 OK" if self.lifecycle == "ready" else b"503 Draining"
                    writer.write(b"HTTP/1.1 " + status + b"\r\ncontent-length: 0\r\n\r\n")
                    await writer.drain()
            except (OSError, asyncio.IncompleteReadError):
                pass
            finally:
                writer.close()

        self.server = await asyncio.start_server(answer, ADDRESS, self.port, reuse_address=True)

    async def die(self):
        self.up = False
        self.server.close()
        await self.server.wait_closed()
        self.world.record("host", host=self.name, event="dies")

    async def start_cold(self):
        self.started_at, self.up, self.fallen = self.world.now(), True, False
        self.queue, self.queue_at, self.arrivals = 0.0, self.world.now(), []
        await self.serve()
        self.world.record("host", host=self.name, event="starts cold")

    def drain_queue(self, at):
        self.queue = max(0.0, self.queue - (at - self.queue_at) * self.capacity(at))
        self.queue_at = at

    async def run(self, operation, proxy):
        """Runs one attempt; returns (good answer, whether it may have run)."""
        world, at = self.world, self.world.now()
        if not self.up or self.fallen:
            return False, False
        world.check_arrival(self, operation, proxy, at)
        if self.fallen:
            return False, False
        self.drain_queue(at)
        # Work that the free cores take up at once does not wait.
        wait = max(0.0, self.queue - self.cores * operation["work"]) / self.capacity(at)
        if wait > self.max_wait:
            return False, False
        self.queue += operation["work"]
        duration = operation.get("duration") or wait + operation["work"] / self.speed
        if operation["write"]:
            world.write_begins(self, operation, proxy, at)
        self.out += 1
        await asyncio.sleep(duration)
        self.out -= 1
        if operation["write"]:
            world.write_ends(self, operation)
        return self.up and not self.fallen, True


class Proxy:
    def __init__(self, world, number, zone):
        self.world, self.number, self.zone = world, number, zone
        self.up = True
        self.joined, self.epoch, self.joined_at, self.read_at = {}, {}, {}, {}
        self.fresh = {}
        self.tables = {}  # slice -> {host: weight}
        self.write_until = {}  # slice -> until when writes may be sent (exclusive sites)
        self.withdrawn = {}  # steward -> hosts
        self.levels, self.retry = {}, {}
        self.last_message_at = {}  # steward -> when the last message that was applied was ordered
        self.last_arrival = {}
        self.out = {}
        self.applied_marks = {}

    def lines(self, number):
        steward = self.world.charge.get(number)
        shut = self.withdrawn.get(steward, ())
        return {h: w for h, w in self.tables.get(number, {}).items() if w > 0 and h not in shut}

    def pick(self, lines):
        names, weights = list(lines), list(lines.values())
        two = self.world.rng.choices(names, weights, k=2)
        return min(two, key=lambda name: self.out.get(name, 0))

    def may_write(self, number, at):
        return at <= self.write_until.get(number, INF)


class Steward:
    """One real steward and what belongs to its addresses."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.listen, self.relay_port, self.discovery_port = free_port(), free_port(), free_port()
        self.process, self.first_pong = None, None
        self.cut = False
        self.connections, self.news, self.watches = set(), set(), set()
        self.channel_free = 0.0
        self.waiting = []  # (departure, lines)
        self.written = {}  # proxy -> times of messages
        self.told_start, self.told_draining = {}, {}
        self.heard, self.heat = {}, {}
        self.known = None
        self.calls = 0
        self.redial = set()  # proxies that dial again once the steward is back

    @property
    def name(self):
        return f"n{self.number}"

    def config(self):
        w = self.world
        known = self.known or w.page(None)
        return {"name": self.name, "listen": f"{ADDRESS}:{self.listen}",
                "discovery": f"{ADDRESS}:{self.discovery_port}", "seed": "8c1f30d27a5be964",
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "registry": {"address": f"{ADDRESS}:{self.relay_port}"},
                "known": known, "settings": w.settings}

    def start(self):
        w = self.world
        path = os.path.join(w.folder, f"{self.name}.json")
        with open(path, "w") as out:
            json.dump(self.config(), out)
        env = {"PATH": os.environ["PATH"], "TMPDIR": w.folder, "NODE_NAME": self.name, "NODE_CONFIG": path,
               "NODE_LISTEN": f"{ADDRESS}:{self.listen}", "NODE_DISCOVERY": f"{ADDRESS}:{self.discovery_port}",
               "RAILHUB_LOG": os.environ.get("RAILHUB_LOG", "info,may=warn")}
        log = open(os.path.join(w.log_folder, f"steward-{self.name}.log"), "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", run_command()], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                                        stdout=log, stderr=log)
        log.close()
        self.first_pong = None
        w.record("steward", steward=self.number, event="process started")

    def kill(self):
        self.process.kill()
        self.process.wait()
        self.process = None
        self.channel_free, self.waiting = 0.0, []
        self.world.record("steward", steward=self.number, event="killed")
        # The streams to it break, and what waits in its channel is lost.
        for proxy in self.world.proxies:
            if proxy.joined.get(self.number):
                self.world.leave(proxy, self.number)
                self.redial.add(proxy.number)

    async def until_ready(self, limit=10.0):
        end = time.monotonic() + limit
        body = b'{"t":"ping"}'
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(ADDRESS, self.listen)
                writer.write(struct.pack(">I", len(body)) + body)
                answer = await asyncio.wait_for(reader.readexactly(4), 1.0)
                await reader.readexactly(struct.unpack(">I", answer)[0])
                writer.close()
                self.first_pong = self.world.now()
                self.world.record("steward", steward=self.number, event="answers ping")
                return
            except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
                await asyncio.sleep(0.01)
        raise CannotRun(f"steward {self.number} does not answer")

    def notify(self, method, params):
        if self.cut:
            return
        line = json.dumps({"jsonrpc": "2.0", "method": method, "params": params}).encode() + b"\n"
        if method == "ping":
            line = b'{"jsonrpc":"2.0","method":"ping"}\n'
        for writer in list(self.news):
            try:
                writer.write(line)
            except OSError:
                self.news.discard(writer)

    async def serve_relay(self, reader, writer):
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                if self.cut:
                    continue
                message = json.loads(line)
                if message["method"] == "subscribe":
                    self.subscribe(message, writer)
                    continue
                self.calls += 1
                lost = self.world.loses_answer(self)
                if lost:
                    wait = 0.5 if lost == "reset" else 1.5
                    self.world.excused_until[self.number] = max(self.world.excused_until.get(self.number, 0.0), self.world.now() + wait)
                if lost == "call":
                    continue
                taken = self.world.commit(self, message["params"]["orders"])
                await asyncio.sleep(0.002)
                if lost == "reset":
                    writer.transport.abort()
                    return
                if self.cut or lost == "answer":
                    continue
                writer.write(json.dumps({"jsonrpc": "2.0", "id": message["id"], "result": {"taken": taken}}).encode() + b"\n")
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(writer)
            self.news.discard(writer)
            writer.close()

    def subscribe(self, message, writer):
        w = self.world
        w.record("relay", steward=self.number, event="subscribed")
        w.on_subscribe(self)
        lines = [{"jsonrpc": "2.0", "id": message["id"], "result": True}]
        for proxy in w.proxies:
            if proxy.joined.get(self.number):
                lines.append(w.joined_notification(self, proxy))
        for number in sorted(w.tables):
            if w.charge.get(number) == self.number:
                lines.append({"jsonrpc": "2.0", "method": "given", "params": {"slice": number, "on": True}})
                for host, weight in w.tables[number].items():
                    lines.append({"jsonrpc": "2.0", "method": "held",
                                  "params": {"slice": number, "server": host, "weight": weight}})
        text = "".join(json.dumps(line) + "\n" for line in lines) + '{"jsonrpc":"2.0","method":"ping"}\n'
        writer.write(text.encode())
        self.news.add(writer)
        redial, self.redial = self.redial, set()
        for number in redial:
            asyncio.get_running_loop().call_later(w.rng.uniform(*w.redial), w.dial_again, w.proxies[number], self.number)

    def set_cut(self, cut):
        """Cuts the steward off from the relay, or heals that: what stood meanwhile is reset."""
        self.cut = cut
        self.world.record("steward", steward=self.number, event="cut off from the relay" if cut else "reaches the relay again")
        if not cut:
            for writer in list(self.connections):
                writer.transport.abort()
            self.connections.clear()
            self.news.clear()

    async def serve_discovery(self, reader, writer):
        w = self.world
        try:
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            after = re.search(r"after=(\d+)", request)
            if "watch=1" not in request:
                body = json.dumps(w.page(None)).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n" % len(body) + body)
                return
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            page = w.page(int(after.group(1)) if after else None)
            self.tell(writer, page)
            self.watches.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                self.chunk(writer, b"\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()

    @staticmethod
    def chunk(writer, data):
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")

    def tell(self, writer, page):
        now = self.world.now()
        if page["instances"] or page["reset"]:
            self.chunk(writer, json.dumps(page).encode() + b"\n")
        else:
            self.chunk(writer, b"\n")
        for instance in page["instances"]:
            name = instance["instanceId"]
            if instance["startedAtMs"]:
                self.told_start.setdefault((name, instance["startedAtMs"]), now)
            if instance["lifecycle"] == "ready":
                self.told_draining.pop(name, None)
            else:
                self.told_draining.setdefault(name, now)

    async def collect(self, zone):
        """The collector of a zone: connects and forwards what its proxies met, late."""
        w = self.world
        while True:
            await asyncio.sleep(0.2)
            if self.process is None:
                continue
            try:
                _, writer = await asyncio.open_connection(ADDRESS, self.listen)
                self.send(writer, {"t": "collector", "zone": zone})
                self.heard[zone] = {}
                self.heat = {}
                last = w.now()
                while not writer.is_closing():
                    await asyncio.sleep(w.cycle)
                    span, last = w.now() - last, w.now()
                    messages = self.reports(zone, span * 1000.0)
                    late = w.rng.uniform(*w.report_late)
                    asyncio.get_running_loop().call_later(late, self.send_all, writer, messages)
                    await writer.drain()
            except OSError:
                pass

    def reports(self, zone, span_ms):
        messages = []
        for host, (tries, failed, total) in sorted(self.heard.get(zone, {}).items()):
            mean = 1000.0 * total / (tries - failed) if tries > failed else 0.0
            known = self.world.hosts.get(host)
            messages.append({"t": "heard", "zone": zone, "server": host, "tries": tries, "failed": failed,
                             "mean_ms": mean, "span_ms": span_ms,
                             "load": {"inflight": known.out if known else 0}})
        self.heard[zone] = {}
        if zone == self.world.zones[0]:
            for number, name in ((n, c) for n in self.world.rates for c in self.world.rates[n]):
                if self.world.charge.get(number) != self.number:
                    continue
                tries, failed = self.heat.get((number, name), (0, 0))
                messages.append({"t": "heat", "slice": number, "class": name, "tries": tries, "failed": failed,
                                 "span_ms": span_ms})
            self.heat = {}
        return messages

    def send_all(self, writer, messages):
        try:
            for message in messages:
                self.send(writer, message)
        except OSError:
            pass

    @staticmethod
    def send(writer, message):
        body = json.dumps(message).encode()
        writer.write(struct.pack(">I", len(body)) + body)


class World:
    def __init__(self, folder, settings, zones, seed=1, rate=42100.0, late=(0.1, 0.3), report_late=(0.68, 1.5),
                 sync=(0.09, 0.43), redial=(0.13, 2.3)):
        self.case_folder, self.settings, self.zones = folder, settings, zones
        self.rng = random.Random(seed)
        self.wall0, self.mono0 = time.time(), time.monotonic()
        self.family, self.rules = settings["family_info"], settings["rules"]
        self.exclusive = self.family["exclusive"]
        self.lease = self.family["write_lease_us"] / 1e6
        self.cycle = self.family["cycle_us"] / 1e6
        self.line_rate, self.late, self.report_late, self.sync = rate, late, report_late, sync
        self.redial = redial
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.log_folder = os.environ.get("REVIEW_LOGS") or self.folder
        self.out = open(os.path.join(folder, "record.txt"), "w")
        self.hosts, self.proxies, self.stewards = {}, [], []
        self.tables, self.charge, self.given_at = {}, {}, {}
        self.named, self.names = {}, 0  # (slice, host) -> number of the naming in the store
        self.taker = {}  # slice -> (number of the naming, host) of the latest host that took a write
        self.generation, self.changed = 41, {}
        self.rates, self.work = {}, {}
        self.breaches = []
        self.counts = {"sent": 0, "good": 0, "failed": 0, "refused": 0}
        self.tasks = []
        self.empty_since = {}
        self.excused_until = {}
        self.lose = None
        self.give_back = {}  # steward -> slices that it gets back when it is heard of again
        self.stopping = False

    # Time and record

    def now(self):
        return self.wall0 + (time.monotonic() - self.mono0)

    def since(self, at):
        return round(at - self.wall0, 3)

    def record(self, kind, **fields):
        words = " ".join(f"{key}={value}" for key, value in fields.items())
        self.out.write(f"{self.since(self.now()):8.3f} {kind} {words}\n")

    def breach(self, rule, **fields):
        self.breaches.append((rule, fields))
        if len(self.breaches) <= 50:
            self.record("BROKEN", rule=rule, **fields)

    # Building

    def add_host(self, name, zone, **more):
        self.hosts[name] = Host(self, name, zone, **more)
        self.changed[name] = self.generation

    def add_proxy(self, zone, joined=True):
        proxy = Proxy(self, len(self.proxies), zone)
        self.proxies.append(proxy)
        for steward in self.stewards:
            proxy.joined[steward.number] = joined
            proxy.joined_at[steward.number] = self.now()
            proxy.fresh[steward.number] = True
        return proxy

    def add_slice(self, number, table, steward, rates, work):
        """`rates`: operations a second by class, over all proxies. `work`: core seconds by class."""
        self.tables[number] = dict(table)
        self.charge[number] = steward
        self.given_at[number] = self.now()
        self.rates[number], self.work[number] = rates, work
        for host in table:
            self.name_owner(number, host)
        for proxy in self.proxies:
            proxy.tables[number] = dict(table)

    def name_owner(self, number, host):
        self.names += 1
        self.named[number, host] = self.names

    async def open(self):
        for host in self.hosts.values():
            await host.serve()
        for steward in self.stewards:
            await asyncio.start_server(steward.serve_relay, ADDRESS, steward.relay_port, limit=1 << 20)
            await asyncio.start_server(steward.serve_discovery, ADDRESS, steward.discovery_port)
            for zone in self.zones:
                self.spawn(steward.collect(zone))
        self.spawn(self.pings())
        self.spawn(self.watch_rules())

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))

    async def pings(self):
        while True:
            await asyncio.sleep(1.0)
            for steward in self.stewards:
                steward.notify("ping", {})

    # Discovery

    def instance(self, host):
        started = int(host.listed_start * 1000) if host.listed_start else 0
        return {"instanceId": host.name, "hostPort": f"{ADDRESS}:{host.port}", "zone": host.zone,
                "machineType": "m", "cell": 0, "lifecycle": host.lifecycle, "weight": host.cores,
                "startedAtMs": started}

    def page(self, after):
        entries = [self.instance(host) for name, host in sorted(self.hosts.items())
                   if after is None or self.changed[name] > after]
        if after is None:
            entries = [entry for entry in entries if entry["lifecycle"] != "gone"]
        return {"generation": self.generation, "reset": after is None, "instances": entries}

    def list_changed(self, *names):
        """Publishes the present state of these hosts to all stewards."""
        self.generation += 1
        for name in names:
            self.changed[name] = self.generation
            self.hosts[name].listed_start = self.hosts[name].started_at
            self.record("list", host=name, lifecycle=self.hosts[name].lifecycle, started=self.hosts[name].started_at is not None)
        page = {"generation": self.generation, "reset": False,
                "instances": [self.instance(self.hosts[name]) for name in names]}
        for steward in self.stewards:
            for writer in list(steward.watches):
                steward.tell(writer, page)

    # Relay and store

    def loses_answer(self, steward):
        return self.lose(steward) if self.lose else None

    def on_subscribe(self, steward):
        for number in self.give_back.pop(steward.number, []):
            self.give(number, steward.number)

    def joined_notification(self, steward, proxy):
        return {"jsonrpc": "2.0", "method": "joined",
                "params": {"proxy": proxy.number, "zone": proxy.zone, "weight": 10.0,
                           "fresh": proxy.fresh.get(steward.number, True)}}

    def give(self, number, steward):
        """Puts a slice in the charge of a steward; None: of nobody."""
        former = self.charge.get(number)
        if former is not None:
            self.stewards[former].notify("given", {"slice": number, "on": False})
        self.charge[number] = steward
        self.given_at[number] = now = self.now()
        self.record("store", slice=number, given_to=steward, table=self.tables[number])
        for proxy in self.proxies:
            proxy.write_until[number] = min(proxy.write_until.get(number, INF), now + self.lease)
        if steward is not None:
            self.stewards[steward].notify("given", {"slice": number, "on": True})
            for host, weight in self.tables[number].items():
                self.stewards[steward].notify("held", {"slice": number, "server": host, "weight": weight})
            for proxy in self.proxies:
                if proxy.joined.get(steward):
                    self.read_later(proxy, steward, [number])

    def read_later(self, proxy, steward, numbers):
        delay = self.rng.uniform(*self.sync)
        proxy.read_at[steward] = max(proxy.read_at.get(steward, 0.0), self.now() + delay)
        epoch = proxy.epoch.get(steward, 0)
        asyncio.get_running_loop().call_later(delay, self.read_store, proxy, steward, epoch, numbers)

    def read_store(self, proxy, steward, epoch, numbers):
        if not proxy.joined.get(steward) or proxy.epoch.get(steward, 0) != epoch or not proxy.up:
            return
        for number in numbers if numbers is not None else list(self.tables):
            if self.charge.get(number) == steward:
                proxy.tables[number] = dict(self.tables[number])
                proxy.write_until[number] = INF

    def join(self, proxy, steward):
        proxy.epoch[steward] = proxy.epoch.get(steward, 0) + 1
        proxy.joined[steward], proxy.joined_at[steward] = True, self.now()
        self.record("proxy", proxy=proxy.number, event="joined", steward=steward)
        target = self.stewards[steward]
        note = self.joined_notification(target, proxy)
        target.notify("joined", note["params"])
        proxy.fresh[steward] = False
        self.read_later(proxy, steward, None)

    def dial_again(self, proxy, steward):
        if proxy.up and not proxy.joined.get(steward):
            self.join(proxy, steward)

    def leave(self, proxy, steward, notice=0.0):
        """A proxy's stream breaks; the steward is told after `notice` seconds."""
        proxy.epoch[steward] = proxy.epoch.get(steward, 0) + 1
        proxy.joined[steward] = False
        now = self.now()
        for number, charge in self.charge.items():
            if charge == steward:
                proxy.write_until[number] = min(proxy.write_until.get(number, INF), now + self.lease)
        self.record("proxy", proxy=proxy.number, event="stream broke", steward=steward)
        asyncio.get_running_loop().call_later(notice, self.tell_left, proxy, steward)

    def tell_left(self, proxy, steward):
        if not proxy.joined.get(steward):
            self.stewards[steward].notify("left", {"proxy": proxy.number})

    def commit(self, steward, orders):
        now, effects, taken = self.now(), [], 0
        self.record("call", steward=steward.number, orders=json.dumps(orders) if len(orders) <= 40 else f"({len(orders)} orders)")
        for order in orders:
            op = order["op"]
            if "server" in order and order["server"] not in self.hosts:
                break
            if op in ("share", "clear"):
                number = order["table"]
                if self.charge.get(number) != steward.number:
                    taken += 1
                    continue
                self.store_order(number, order)
            effects.append(order)
            taken += 1
        if effects:
            self.send_message(steward, effects, now)
        return taken

    def store_order(self, number, order):
        table = self.tables[number]
        if order["op"] == "clear":
            table.clear()
        elif order["weight"] <= 0:
            table.pop(order["server"], None)
        else:
            if self.exclusive:
                if list(table) != [order["server"]]:
                    self.name_owner(number, order["server"])
                table.clear()
            elif order["server"] not in table:
                self.name_owner(number, order["server"])
            table[order["server"]] = order["weight"]

    def send_message(self, steward, effects, ordered_at):
        now = self.now()
        lines = self.family["envelope"] + len(effects) + len(self.settings["request_classes"])
        loop = asyncio.get_running_loop()
        steward.channel_free = max(now, steward.channel_free)
        for proxy in self.proxies:
            if not proxy.joined.get(steward.number):
                continue
            steward.channel_free += lines / self.line_rate
            steward.waiting.append((steward.channel_free, lines))
            arrival = steward.channel_free + self.rng.uniform(*self.late)
            # Messages reach a proxy in order: timers that are due at the same moment would not keep it.
            arrival = max(arrival, proxy.last_arrival.get(steward.number, 0.0) + 0.001)
            proxy.last_arrival[steward.number] = arrival
            written = steward.written.setdefault(proxy.number, [])
            written.append(now)
            recent = [at for at in written if at > now - self.family["messages_over_us"] / 1e6 and at >= proxy.joined_at[steward.number]]
            steward.written[proxy.number] = recent
            if self.family["update_cap"] and len(recent) > self.family["update_cap"]:
                self.breach("a short queue", steward=steward.number, proxy=proxy.number, messages=len(recent))
            epoch = proxy.epoch.get(steward.number, 0)
            loop.call_later(max(0.0, arrival - now), self.apply, steward, proxy, epoch, effects, ordered_at)
        steward.waiting = [(at, count) for at, count in steward.waiting if at > now]
        backlog = sum(count for _, count in steward.waiting)
        if backlog > self.family["backlog"]:
            self.breach("a short queue", steward=steward.number, lines=backlog)

    def apply(self, steward, proxy, epoch, effects, ordered_at):
        number = steward.number
        if not proxy.joined.get(number) or proxy.epoch.get(number, 0) != epoch or not proxy.up:
            return
        for order in effects:
            op = order["op"]
            if op in ("share", "clear"):
                self.apply_line(proxy, order)
            elif op == "withdraw":
                proxy.withdrawn.setdefault(number, set()).add(order["server"])
            elif op == "restore":
                proxy.withdrawn.setdefault(number, set()).discard(order["server"])
            elif op == "admit":
                for name in order.get("classes", ["*"]):
                    proxy.levels[number, name] = order["level"]
                    proxy.retry[number, name] = order["retry"]
            elif op == "mark":
                delay = max(0.0, proxy.read_at.get(number, 0.0) - self.now()) + 0.002
                asyncio.get_running_loop().call_later(delay, self.applied, steward, proxy, epoch, order["ticket"])
        proxy.last_message_at[number] = ordered_at

    def applied(self, steward, proxy, epoch, ticket):
        if proxy.joined.get(steward.number) and proxy.epoch.get(steward.number, 0) == epoch:
            steward.notify("applied", {"proxy": proxy.number, "mark": ticket, "took_ms": 200.0})

    def apply_line(self, proxy, order):
        table = proxy.tables.setdefault(order["table"], {})
        if order["op"] == "clear":
            table.clear()
        elif order["weight"] <= 0:
            table.pop(order["server"], None)
        else:
            if self.exclusive:
                table.clear()
            table[order["server"]] = order["weight"]

    # Clients

    async def load(self, proxy, share):
        """The operations that come to a proxy: `share` of each slice's rate."""
        while True:
            due = []
            at = self.now()
            for number, rates in self.rates.items():
                for name, rate in rates.items():
                    if rate * share > 0:
                        due.append([at + self.rng.random() / (rate * share), number, name, 1.0 / (rate * share)])
            while proxy.up:
                due.sort()
                at = due[0][0]
                await asyncio.sleep(max(0.0, at - self.now()))
                _, number, name, gap = due[0]
                due[0][0] = at + gap * self.rng.uniform(0.8, 1.2)
                if proxy.up:
                    self.spawn_operation(proxy, number, name)
            while not proxy.up:
                await asyncio.sleep(0.02)

    def spawn_operation(self, proxy, number, name):
        write = name in self.write_names()
        operation = {"slice": number, "class": name, "write": write, "work": self.work[number][name]}
        if self.durations.get(name):
            operation["duration"] = self.durations[name]
        task = asyncio.ensure_future(self.operate(proxy, operation))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    durations = {}

    def write_names(self):
        flags = self.family["write_classes"]
        return {c["name"] for c, flag in zip(self.settings["request_classes"], flags) if flag}

    async def operate(self, proxy, operation):
        number, name = operation["slice"], operation["class"]
        steward = self.charge.get(number)
        if steward is not None and proxy.joined.get(steward):
            entry = self.stewards[steward].heat.setdefault((number, name), [0, 0])
            entry[0] += 1
        level = proxy.levels.get((steward, name), 1.0)
        if level < 1.0 and self.rng.random() >= level:
            self.counts["refused"] += 1
            return
        end = self.now() + self.family["buffer_for_us"] / 1e6
        tried = set()
        attempts = 2 if proxy.retry.get((steward, name), self.family["usual_how"]) >= 1 else 1
        while attempts:
            lines = {h: w for h, w in proxy.lines(number).items() if h not in tried}
            allowed = not (operation["write"] and self.exclusive) or proxy.may_write(number, self.now())
            if not lines or not allowed:
                if tried or self.now() >= end or not proxy.up:
                    self.counts["refused"] += 1
                    return
                await asyncio.sleep(0.02)
                continue
            host = proxy.pick(lines)
            tried.add(host)
            attempts -= 1
            good, may_have_run = await self.attempt(proxy, operation, host)
            if good or may_have_run:
                break
        if not good and steward is not None:
            entry = self.stewards[steward].heat.setdefault((number, name), [0, 0])
            entry[1] += 1
        self.counts["good" if good else "failed"] += 1

    async def attempt(self, proxy, operation, name):
        host = self.hosts[name]
        began = self.now()
        self.counts["sent"] += 1
        self.check_drain(proxy, operation, host, began)
        proxy.out[name] = proxy.out.get(name, 0) + 1
        good, may_have_run = await host.run(operation, proxy)
        proxy.out[name] -= 1
        steward = self.charge.get(operation["slice"])
        if steward is not None and proxy.joined.get(steward):
            entry = self.stewards[steward].heard.setdefault(proxy.zone, {}).setdefault(name, [0, 0, 0.0])
            entry[0] += 1
            entry[1] += not good
            entry[2] += (self.now() - began) if good else 0.0
        return good, may_have_run

    # Rules

    def write_begins(self, host, operation, proxy, at):
        number = operation["slice"]
        host.in_hand[number] = host.in_hand.get(number, 0) + 1
        if not self.exclusive:
            return
        others = [other.name for other in self.hosts.values() if other is not host and other.in_hand.get(number)]
        naming = self.named.get((number, host.name), 0)
        last = self.taker.get(number, (0, None))
        if others:
            self.breach("no effect twice", what="a write reaches a host while another has one of the same slice in hand",
                        slice=number, host=host.name, proxy=proxy.number, other=others[0])
        elif last[0] > naming:
            self.breach("no effect twice", what="a write reaches a former owner after a later one has taken a write",
                        slice=number, host=host.name, proxy=proxy.number, later=last[1])
        if naming > last[0]:
            self.taker[number] = (naming, host.name)
            self.record("write", slice=number, first_at=host.name, proxy=proxy.number)

    def write_ends(self, host, operation):
        host.in_hand[operation["slice"]] -= 1

    def check_arrival(self, host, operation, proxy, at):
        """Rule 4: what is sent to a cold host within a span stays under multiple x present capacity x span."""
        if host.warm_fraction(at) >= 1.0:
            return
        steward = self.charge.get(operation["slice"])
        knows = False
        if steward is not None:
            told = self.stewards[steward].told_start.get((host.name, int(host.started_at * 1000)))
            grace = self.rules["stop_sending_within_us"] / 1e6
            if told is not None:
                knows = proxy.last_message_at.get(steward, 0.0) >= told or at >= told + grace
        host.arrivals.append((at, operation["work"], knows))
        span = self.rules["overload_for_us"] / 1e6
        window = [entry for entry in host.arrivals if entry[0] > at - span]
        host.arrivals = window
        begins = max(at - span, host.started_at)
        # The span that the work counts for: the whole one, from its beginning on.
        middle = host.capacity(begins + span / 2)
        work = sum(entry[1] for entry in window)
        if work > self.slack * self.rules["fall_multiple"] * middle * span:
            known = sum(entry[1] for entry in window if entry[2])
            host.fallen = True
            share = known / work
            self.record("host", host=host.name, event="falls over", work=round(work, 3),
                        allowed=round(self.rules["fall_multiple"] * middle * span, 3), known_share=round(share, 3),
                        seconds_after_start=round(at - host.started_at, 3))
            if share >= 2 / 3:
                self.breach("safe fail-back", host=host.name, known_share=round(share, 3),
                            work=round(work, 3), seconds_after_start=round(at - host.started_at, 3))

    slack = 1.1

    def check_drain(self, proxy, operation, host, at):
        steward = self.charge.get(operation["slice"])
        if steward is None or not proxy.joined.get(steward):
            return
        node = self.stewards[steward]
        told = node.told_draining.get(host.name)
        if told is None or node.first_pong is None:
            return
        start = max(told, proxy.joined_at[steward], self.given_at[operation["slice"]], node.first_pong + 1.0,
                    self.excused_until.get(steward, 0.0))
        if at - start > self.rules["stop_sending_within_us"] / 1e6 + 0.3:
            self.breach("safe drain", host=host.name, proxy=proxy.number, slice=operation["slice"],
                        seconds=round(at - start, 3))

    async def watch_rules(self):
        limit = self.family["empty_for_us"] / 1e6 + 0.3
        warm = self.rules["warm_within_us"] / 1e6
        while True:
            await asyncio.sleep(0.1)
            now = self.now()
            listed = any(h.lifecycle == "ready" and (h.started_at is None or now - h.started_at >= warm)
                         for h in self.hosts.values())
            for steward in self.stewards:
                if steward.process is not None and steward.process.poll() is not None and not self.stopping:
                    self.breach("no crash", steward=steward.number, code=steward.process.poll())
                    steward.process = None
            for proxy in self.proxies:
                for number, charge in self.charge.items():
                    key = (proxy.number, number)
                    ok = charge is None or not proxy.joined.get(charge) or not listed or not proxy.up or proxy.lines(number)
                    if ok or self.stewards[charge].first_pong is None:
                        self.empty_since.pop(key, None)
                        continue
                    began = self.empty_since.setdefault(key, now)
                    start = max(began, proxy.joined_at[charge], self.given_at[number],
                                self.stewards[charge].first_pong + 1.0, self.excused_until.get(charge, 0.0))
                    if now - start > limit:
                        self.breach("nobody left without a server", proxy=proxy.number, slice=number, steward=charge,
                                    seconds=round(now - start, 3))
                        self.empty_since[key] = now

    # End

    def close(self):
        self.stopping = True
        for steward in self.stewards:
            if steward.process is not None:
                steward.process.kill()
                steward.process.wait()
        for task in self.tasks:
            task.cancel()
        self.record("end", **self.counts)
        self.out.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def settings(**changes):
    """Settings as in the example of the wire page, with what a case changes."""
    family = {"backlog": 84200.0, "buffer_for_us": 200000, "conns_least": 1451.0, "cycle_us": 1000000,
              "data_plane_size": 12, "ejects": 0, "empty_for_us": 5800000, "envelope": 12.0, "exclusive": False,
              "first_wait": 1.2, "hears_per_s": 800.0, "homed_by_zone": False, "key_ranges": 72, "late_us": 204000,
              "messages_over_us": 10000000, "pick": "two", "push_price": 0.02, "push_rate": 42100.0,
              "shift_fee": 0.01, "standing": 6, "throttle_by": "share", "transit_max_us": 510000, "update_cap": 20,
              "usual_how": 1, "warm_keys": True, "write_classes": [False, True], "write_lease_us": 4000000,
              "write_life_us": 3020000, "zone_bound": [False, False]}
    rules = {"ask_within_us": 10000000, "cold_from": 0.16, "fall_multiple": 2.5, "overload_for_us": 2000000,
             "stop_sending_within_us": 3500000, "warm_within_us": 18000000}
    classes = [{"aim_us": 800000, "effect": "repeatable", "group": "all", "hard_limit_us": 2500000,
                "key_ttl_us": 5000000, "late_value": 0.1, "name": "availability", "worth": 1.0},
               {"aim_us": 1200000, "effect": "once", "group": "all", "hard_limit_us": 3000000,
                "key_ttl_us": 5000000, "late_value": 0.1, "name": "deposit", "worth": 2.0}]
    family.update(changes.pop("family_info", {}))
    rules.update(changes.pop("rules", {}))
    result = {"balancers": 1, "ceilings": {"conn_idle_us": 15000000, "connect_timeout_us": 250000, "cpu_us_per_s": 333333,
                                           "max_streams": 100, "peer_messages": True, "probes": True},
              "discovery": "automatic", "family_info": family, "host_types": ["m"], "request_classes": classes,
              "rules": rules, "service_type": "control", "slot_no": 0,
              "telemetry": {"how": "answers", "names": ["rif"]}, "tick_us": 4000, "value_by": "request",
              "weights": "nominal", "zone": "a", "zones": ["a", "b"]}
    result.update(changes)
    return result


def play(folder, case, rule):
    """Plays a case and exits: 1 if its rule was broken, 0 if it held, 2 if the case could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def main():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        # The stewards are ended also when this process is told to end.
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, asyncio.current_task().cancel)
        return await case(folder, trouble)

    code = 2
    try:
        world = asyncio.run(asyncio.wait_for(main(), 115))
        broken = [entry for entry in world.breaches if entry[0] == rule]
        others = sorted({entry[0] for entry in world.breaches if entry[0] != rule})
        if world.counts["good"] < 100:
            print("could not run: the clients got hardly any answers")
        else:
            code = 1 if broken else 0
            print(f"{rule}: {'BROKEN ' + str(broken[0][1]) if broken else 'held'}; {world.counts}"
                  + (f"; also broken: {others}" if others else ""))
    except (CannotRun, OSError, asyncio.TimeoutError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
    sys.exit(code)
