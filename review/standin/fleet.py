"""Stand-ins for a small deployment on loopback: the platform's store, its
routers, servers and clients, and the entry host processes between them.

They follow PROTOCOL.md: packets of 32 bytes of header and data, flows that are
opened by a SYN with copies after 200 and 600 ms, servers that answer clients
directly, a store that is read with kv-range and kv-watch, and routers that pick
the host for a packet by a hash over the hosts in rotation.

Only the standard library is used. Everything runs in one event loop, and all
sockets are bound to loopback addresses of one run's own subnet, 127.NET.0.0/16.
"""

import asyncio
import base64
import ctypes
import json
import os
import random
import shlex
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse
import zlib

SYN, ACK, FIN, RST = 16, 2, 8, 1
HEAD = struct.Struct("<IIBBIHIIHHI")
DATA_PORT, READY_PORT, CONTROL_PORT, PEER_PORT, STORE_PORT, SERVER_PORT = 8172, 8167, 8166, 7720, 8169, 8080
SUM_KEY = b"known to clients and servers only"
COPIES = (0.2, 0.6)
GIVE_UP = 1.4
HEARTBEAT_S = 1.2
PAGE_ITEMS = 500
PAGE_BYTES = 1 << 20


def ip_int(text):
    return struct.unpack(">I", socket.inet_aton(text))[0]


def ip_text(number):
    return socket.inet_ntoa(struct.pack(">I", number))


def end_with_parent():
    """Lets the kernel end this process if the script is killed."""
    ctypes.CDLL(None).prctl(1, signal.SIGKILL)


class Packet:
    """A packet of a client or a server."""

    def __init__(self, src, sport, dst, dport, flags, seq, ack, data=b"", echo=0, check=None):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack, self.data, self.echo = flags, seq & 0xFFFFFFFF, ack & 0xFFFFFFFF, data, echo
        self.check = self.sum() if check is None else check

    def sum(self):
        covered = struct.pack(
            "<IIBHIIHH", self.seq, self.ack, self.flags & 127, self.dport, ip_int(self.dst), ip_int(self.src), self.sport, len(self.data)
        )
        return zlib.crc32(SUM_KEY + covered + self.data)

    def encode(self):
        return (
            HEAD.pack(
                self.seq, self.ack, self.flags, 0, self.check, self.dport, ip_int(self.dst), ip_int(self.src), self.sport,
                len(self.data), self.echo,
            )
            + self.data
        )

    @staticmethod
    def decode(raw):
        seq, ack, flags, _, check, dport, dst, src, sport, size, echo = HEAD.unpack_from(raw)
        if len(raw) != HEAD.size + size:
            return None
        return Packet(ip_text(src), sport, ip_text(dst), dport, flags, seq, ack, raw[HEAD.size :], echo, check)


class Fleet:
    """One run: addresses, the clock, the record, processes and the store."""

    def __init__(self, folder):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.net = self.free_net()
        self.begin = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.hosts, self.servers, self.clients, self.tasks = [], [], [], []
        self.store = Store(self)
        self.rng = random.Random(1)
        self.broken = []
        # Time at which each SYN was sent, by addresses, ports and number of copies
        # before it; for the judgement.
        self.sent = {}

    def free_net(self):
        """Returns a second byte of loopback addresses that no other run uses."""
        order = list(range(16, 250))
        random.shuffle(order)
        for net in order:
            probe = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            try:
                probe.bind(("127.%d.250.1" % net, 7999))
                probe.listen(1)
                self.lock = probe
                return net
            except OSError:
                probe.close()
        raise RuntimeError("no free loopback subnet")

    def addr(self, group, number):
        return "127.%d.%d.%d" % (self.net, group, number)

    def now(self):
        return time.monotonic() - self.begin

    def note(self, text):
        self.record.write("%8.3f  %s\n" % (self.now(), text))

    def fail(self, text):
        self.broken.append(text)
        self.note("BROKEN  " + text)

    def spawn(self, work):
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.append(task)
        return task

    async def until(self, at):
        await asyncio.sleep(max(0.0, at - self.now()))

    async def add_hosts(self, zones, per_zone, **settings):
        for i in range(per_zone):
            for z, zone in enumerate(zones):
                host = Host(self, len(self.hosts) + 1, zone, zones, settings)
                self.hosts.append(host)
        seeds = ["%s:%d" % (h.addr, CONTROL_PORT) for h in self.hosts[:3]]
        for host in self.hosts:
            await host.prepare(seeds)
        for host in self.hosts:
            host.start()
            self.spawn(host.probe())

    def zone_hosts(self, zone):
        all_of = [h for h in self.hosts if h.zone == zone]
        ready = [h for h in all_of if h.in_rotation()]
        if 2 * len(ready) < len(all_of) and ready:
            return all_of
        return ready or [h for h in self.hosts if h.in_rotation()]

    def route(self, zone, packet):
        """Returns the host that the platform's routers pick for a client's packet."""
        hosts = self.zone_hosts(zone)
        if not hosts:
            return None
        key = struct.pack(">IHIH", ip_int(packet.src), packet.sport, ip_int(packet.dst), packet.dport)
        return hosts[zlib.crc32(key) % len(hosts)]

    async def close(self):
        for host in self.hosts:
            host.kill()
        # A single cancellation may be lost in asyncio.wait_for.
        for _ in range(3):
            for task in self.tasks:
                task.cancel()
            await asyncio.wait(self.tasks, timeout=0.5)
        for end in self.servers + self.clients:
            end.sock.close()
        shutil.rmtree(self.temp, ignore_errors=True)
        self.record.close()
        self.lock.close()


class Host:
    """An entry host: a process of the project, its settings file, and the
    address at which it reaches the store."""

    def __init__(self, fleet, number, zone, zones, settings):
        self.fleet, self.number, self.zone, self.zones = fleet, number, zone, zones
        self.name = "edge-%s-%d" % (zone, number)
        self.addr = fleet.addr(1, number)
        self.store_addr = fleet.addr(2, number)
        self.settings = settings
        self.path = os.path.join(fleet.temp, self.name + ".json")
        self.log_path = os.path.join(fleet.temp, self.name + ".log")
        self.process = None
        self.missed = 2
        self.started = 0.0

    async def prepare(self, seeds):
        bounds = {
            "seedLagS": 3, "addrReuseS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6,
            "lossSlackMs": 200, "configApplyMs": 3000, "revertSlackMs": 250, "maxStretchMs": 12000, "recoveryS": 12,
            "flowMs": 2000, "flowMaxS": 60,
        }
        bounds.update(self.settings.get("bounds", {}))
        file = {
            "node": self.name, "role": "entry", "machineClass": "edge", "serves": ["edge", "control_plane"], "ip": self.addr,
            "zone": self.zone, "region": "r", "zones": {z: "r" for z in self.zones},
            "listenAddrs": {
                "datagramAddr": "%s:%d" % (self.addr, DATA_PORT), "readyAddr": "%s:%d" % (self.addr, READY_PORT),
                "control": "%s:%d" % (self.addr, CONTROL_PORT),
            },
            "internalPorts": [PEER_PORT, PEER_PORT + 15], "seeds": seeds, "bootstrap": True, "countLoss": False,
            "limits": {"cpuShare": 0.4, "cpuCores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "announce", "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "recover", "flows", "platform"] + self.settings.get("contracts", []),
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": bounds, "hash": "mod", "forwardingMode": "echo",
            "platform": {
                "address": "%s:%d" % (self.store_addr, STORE_PORT), "forwardingMode": "read", "writesPerS": 400,
                "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
            },
        }
        with open(self.path, "w") as out:
            json.dump(file, out)
        await self.fleet.store.listen(self)

    def start(self):
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["HEATHERSTACK_CONFIG"] = self.path
        log = open(self.log_path, "a")
        command = [os.path.abspath(COMMAND[0])] + COMMAND[1:]
        self.process = subprocess.Popen(command, cwd=ROOT, env=env, stdout=log, stderr=log, preexec_fn=end_with_parent)
        log.close()
        self.started = self.fleet.now()
        self.fleet.note("%s started" % self.name)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()

    def in_rotation(self):
        return self.missed < 2

    async def probe(self):
        """Checks the readiness of the host twice per second, as routers do."""
        while True:
            self.missed = 0 if await self.ready() else self.missed + 1
            await asyncio.sleep(0.5)

    async def ready(self):
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(self.addr, READY_PORT), 0.4)
            writer.write(b"GET /-/readiness HTTP/1.1\r\nHost: host\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.4)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def log_lines(self, word):
        with open(self.log_path) as lines:
            return [line.strip() for line in lines if word in line]


class Store:
    """The platform's metadata store. Each host reaches it at an address of its
    own, so that a single host can be cut off from it."""

    HISTORY_S = 20.0
    ANSWER_S = 0.004

    def __init__(self, fleet):
        self.fleet = fleet
        self.revision = 10
        self.items, self.history = {}, []
        self.dropped = self.revision
        self.changed = asyncio.Event()
        self.silent = set()

    async def listen(self, host):
        server = await asyncio.start_server(lambda r, w: self.serve(host, r, w), host.store_addr, STORE_PORT)
        self.fleet.tasks.append(asyncio.get_running_loop().create_task(server.serve_forever()))

    def put(self, key, value):
        """Writes an item; the return is the acknowledgement."""
        raw = value if isinstance(value, bytes) else json.dumps(value, separators=(",", ":")).encode()
        self.revision += 1
        created = self.items[key]["createdAt"] if key in self.items else self.revision
        item = {
            "key": key, "value": base64.b64encode(raw).decode(), "revision": self.revision, "createdAt": created, "lease": 0,
        }
        self.items[key] = item
        self.add_event(item)
        return self.revision

    def without_seq(self, key):
        """Returns what an entry says beside its seq, or None."""
        try:
            entry = json.loads(base64.b64decode(self.items[key]["value"]))
            return {k: v for k, v in entry.items() if k != "seq"}
        except (KeyError, ValueError, AttributeError):
            return None

    def delete(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.add_event({"key": key, "revision": self.revision, "tombstone": True})

    def add_event(self, event):
        # An item is kept in the form in which it is sent: encoding a large one
        # for each reader would take the time of this process.
        self.history.append((time.monotonic(), event["revision"], event["key"], json.dumps(event)))
        self.changed.set()
        self.changed = asyncio.Event()

    def expire(self):
        limit = time.monotonic() - self.HISTORY_S
        while self.history and self.history[0][0] < limit:
            self.dropped = self.history.pop(0)[1]

    async def serve(self, host, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                while host.name in self.silent:
                    await asyncio.sleep(0.05)
                target = head.split(b" ", 2)[1].decode()
                status, body = await self.answer(target)
                while host.name in self.silent:
                    await asyncio.sleep(0.05)
                writer.write(
                    b"HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                    % (status, b"OK" if status == 200 else b"Gone" if status == 410 else b"Not Found", len(body))
                    + body
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, target):
        url = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        await asyncio.sleep(self.ANSWER_S)
        if url.path == "/-/kv-range":
            return 200, self.range(query.get("prefix", ""), query.get("after", ""))
        if url.path == "/-/kv-watch":
            return await self.watch(query.get("prefix", ""), int(query["after"]), int(query.get("waitMs", 0)) / 1000)
        if url.path == "/-/kv-key" and query.get("key") in self.items:
            return 200, json.dumps(dict(self.items[query["key"]], storeRevision=self.revision)).encode()
        return 404, b"{}"

    def range(self, prefix, after):
        out, size, truncated = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            if len(out) >= PAGE_ITEMS or size >= PAGE_BYTES:
                truncated = True
                break
            out.append(self.items[key])
            size += len(self.items[key]["value"])
        return json.dumps({"items": out, "truncated": truncated, "storeRevision": self.revision}).encode()

    async def watch(self, prefix, after, wait):
        until = time.monotonic() + wait
        while True:
            self.expire()
            if after < self.dropped or after > self.revision:
                return 410, json.dumps({"storeRevision": self.revision}).encode()
            found = [event for _, revision, key, event in self.history if revision > after and key.startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                return 200, ('{"events":[%s],"storeRevision":%d}' % (",".join(found), self.revision)).encode()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


class Server:
    """A server. It answers a SYN that it can accept with a SYN+ACK, runs the
    request of the flow's data and answers the client directly."""

    count = 0

    def __init__(self, fleet, service, zone, number, capacity=4, queue=4, work=0.02, cold=0.0, ident=None):
        Server.count += 1
        self.fleet, self.service, self.zone = fleet, service, zone
        self.ident = ident or (0x4D000000 + fleet.net * 0x10000 + Server.count * 7)
        self.key = "servers/i-%x" % self.ident
        self.addr = fleet.addr(3, number)
        self.capacity, self.queue, self.work = capacity, queue, work
        self.state, self.cold_until, self.born = "ready", fleet.now() + cold, int(time.time() * 1000)
        self.seq = 0
        # Flows by addresses and ports, and those that the client has closed.
        self.flows, self.ended = {}, {}
        # Openings: time of arrival, time at which the client sent the SYN, addresses
        # and ports, address of the host.
        self.taken = []
        self.busy = 0
        self.silent = False
        self.beats = None
        # Hosts whose packets do not reach the server.
        self.cut = set()
        self.on_open = None
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.sock.bind((self.addr, SERVER_PORT))
        self.sock.setblocking(False)
        asyncio.get_running_loop().add_reader(self.sock.fileno(), self.readable)
        fleet.servers.append(self)

    def entry(self):
        return {
            "service": self.service, "address": "%s:%d" % (self.addr, SERVER_PORT), "zone": self.zone, "version": "v1",
            "capacity": self.capacity, "state": self.state,
            "coldRemainingMs": max(0, int(1000 * (self.cold_until - self.fleet.now()))), "seq": self.seq, "born": self.born,
        }

    def publish(self):
        """Writes the entry now, and from then on every heartbeat."""
        if self.beats is None:
            self.beats = self.fleet.spawn(self.beat())
        self.write()
        return self.fleet.now()

    def write(self):
        """Writes the entry. It changes when more than its seq does."""
        self.seq += 1
        entry = self.entry()
        if self.fleet.store.without_seq(self.key) != {k: v for k, v in entry.items() if k != "seq"}:
            self.fleet.store.put(self.key, entry)

    async def beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.silent:
                self.write()

    def readable(self):
        while True:
            try:
                raw, (host_addr, _) = self.sock.recvfrom(4096)
            except (BlockingIOError, OSError):
                return
            if not self.silent and host_addr not in self.cut:
                self.handle(raw, host_addr)

    def handle(self, raw, host_addr):
        (ident,) = struct.unpack_from(">Q", raw)
        p = Packet.decode(raw[8:])
        if p is None or p.sum() != p.check:
            self.fleet.fail("UNASKED: server %s got a packet that its sender did not write so" % self.key)
            return
        if ident not in (0, self.ident):
            return
        key = (p.src, p.sport, p.dst, p.dport)
        flow = self.flows.get(key)
        if p.flags & SYN:
            self.open(key, flow, p, host_addr)
        elif p.flags & RST:
            self.flows.pop(key, None)
        elif flow is None or (not flow["open"] and p.ack != flow["seq"] + 1 & 0xFFFFFFFF):
            if flow is None:
                self.send(p, RST, p.ack, 0)
        else:
            self.continue_flow(flow, p)

    def open(self, key, flow, p, host_addr):
        if flow is None:
            if self.busy >= self.capacity + self.queue:
                return
            flow = self.flows[key] = {
                "seq": self.fleet.rng.getrandbits(32), "open": False, "end": p.seq + 1, "sent": None, "requests": 0,
            }
            flow["next"] = flow["seq"] + 1
            self.taken.append((self.fleet.now(), self.fleet.sent.get(key + (p.ack,)), key, host_addr))
            if self.on_open:
                self.on_open(self, p, key, host_addr)
        self.send(p, SYN | ACK, flow["seq"], p.seq + 1)

    def continue_flow(self, flow, p):
        flow["open"] = True
        if p.data and p.seq == flow["end"] & 0xFFFFFFFF:
            flow["end"] = p.seq + len(p.data)
            self.busy += 1
            flow["requests"] += 1
            self.fleet.spawn(self.run(flow, p))
        elif p.data:
            if flow["sent"]:
                self.send(p, ACK, flow["sent"][0], flow["end"], flow["sent"][1])
            else:
                self.send(p, ACK, flow["next"], flow["end"])
        if p.flags & FIN:
            self.send(p, ACK, flow["next"], p.seq + len(p.data) + 1)
            key = (p.src, p.sport, p.dst, p.dport)
            self.ended[key] = self.flows.pop(key, flow)

    async def run(self, flow, p):
        await asyncio.sleep(self.work)
        self.busy -= 1
        answer = b"HTTP/1.1 200 OK\r\nServer-Signature: %x\r\nContent-Length: 2\r\n\r\nok" % self.ident
        flow["sent"] = (flow["next"], answer)
        flow["next"] = flow["next"] + len(answer)
        if not self.silent:
            self.send(p, ACK, flow["sent"][0], flow["end"], answer)

    def send(self, p, flags, seq, ack, data=b""):
        out = Packet(p.dst, p.dport, p.src, p.sport, flags, seq, ack, data, p.echo)
        try:
            self.sock.sendto(out.encode(), (p.src, DATA_PORT))
        except OSError:
            pass


class Client:
    """A client address in a zone. Flows are started with open_flow."""

    def __init__(self, fleet, zone, number):
        self.fleet, self.zone = fleet, zone
        self.addr = fleet.addr(4, number)
        self.waiting = {}
        self.port = 20000
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.sock.bind((self.addr, DATA_PORT))
        self.sock.setblocking(False)
        asyncio.get_running_loop().add_reader(self.sock.fileno(), self.readable)
        fleet.clients.append(self)

    def readable(self):
        while True:
            try:
                raw, (sender, _) = self.sock.recvfrom(4096)
            except (BlockingIOError, OSError):
                return
            p = Packet.decode(raw)
            if p is None:
                continue
            flow = self.waiting.get(p.dport)
            if flow is not None:
                flow.queue.put_nowait((p, sender))

    def open_flow(self, dst, dport):
        self.port += 1
        flow = Flow(self, self.port, dst, dport)
        self.waiting[self.port] = flow
        return flow


class Flow:
    """A client's end of a flow. Results: 'ok', 'refused' (a reset while the flow
    was not open), 'unopened', 'reset', 'timeout'."""

    def __init__(self, client, port, dst, dport):
        self.client, self.port, self.dst, self.dport = client, port, dst, dport
        self.fleet = client.fleet
        self.queue = asyncio.Queue()
        self.seq = self.fleet.rng.getrandbits(31)
        self.ack, self.echo = 0, 0
        self.opened = None
        self.server = None
        # Identity in the Server-Signature of the last answer.
        self.signature = None
        self.begun = self.fleet.now()
        # Resets of this open flow: time, sender's address, sequence number.
        self.resets = []
        self.hosts = []

    def send(self, flags, data=b"", copies=0):
        ack = copies if flags & SYN else self.ack
        p = Packet(self.client.addr, self.port, self.dst, self.dport, flags, self.seq, ack, data, 0 if flags & SYN else self.echo)
        if flags & SYN:
            self.fleet.sent[(p.src, p.sport, p.dst, p.dport, copies)] = self.fleet.now()
        host = self.fleet.route(self.client.zone, p)
        if host is None:
            return
        self.hosts.append(host.name)
        try:
            self.client.sock.sendto(p.encode(), (host.addr, DATA_PORT))
        except OSError:
            pass

    async def receive(self, timeout):
        try:
            return await asyncio.wait_for(self.queue.get(), max(timeout, 0.001))
        except asyncio.TimeoutError:
            return None

    async def connect(self):
        """Opens the flow and returns 'open', 'refused' or 'unopened'."""
        start = self.fleet.now()
        sent = 0
        while True:
            at = self.fleet.now()
            due = ((0.0,) + COPIES)[sent] if sent <= len(COPIES) else GIVE_UP
            if at >= start + GIVE_UP:
                return "unopened"
            if sent <= len(COPIES) and at >= start + due:
                self.send(SYN, copies=sent)
                sent += 1
                continue
            got = await self.receive(min(start + due, start + GIVE_UP) - at)
            if got is None:
                continue
            p, sender = got
            if p.flags & RST:
                return "refused"
            if p.flags & SYN:
                self.opened = self.fleet.now()
                self.server = sender
                self.seq, self.ack, self.echo = self.seq + 1, p.seq + 1, p.echo
                return "open"

    async def request(self, deadline=3.0):
        """Sends a request on the open flow and returns 'ok', 'reset' or 'timeout'."""
        data = b"GET /x HTTP/1.1\r\nRequest-Id: %08x\r\n\r\n" % self.fleet.rng.getrandbits(32)
        until = self.fleet.now() + deadline
        interval, again = 0.2, 0.0
        while self.fleet.now() < until:
            if self.fleet.now() >= again:
                self.send(ACK, data)
                again = self.fleet.now() + interval
                interval = min(1.6, 2 * interval)
            got = await self.receive(min(again, until) - self.fleet.now())
            if got is None:
                continue
            p, sender = got
            if p.flags & RST:
                self.resets.append((self.fleet.now(), sender, p.seq))
                return "reset"
            if p.flags & SYN or sender != self.server:
                continue
            self.echo = p.echo
            if p.data:
                self.seq += len(data)
                self.ack = p.seq + len(p.data)
                self.signature = int(p.data.split(b"Server-Signature: ")[1].split(b"\r")[0], 16)
                self.send(ACK)
                return "ok"
        return "timeout"

    def close(self):
        self.send(ACK | FIN)
        self.client.waiting.pop(self.port, None)

    async def fetch(self):
        """Opens a flow, sends one request and closes it."""
        end = await self.connect()
        if end == "open":
            end = await self.request()
            self.close()
        self.client.waiting.pop(self.port, None)
        return end


def route_entry(number, hostname, port, service, kind="idempotent"):
    return {
        "name": "r-%07d" % number, "hostname": hostname, "prefix": "/%d/" % port, "type": kind, "timeoutMs": 3000,
        "targetLatencyMs": 600, "priority": 2, "service": service, "maxAttempts": 2,
    }


def config(version, routes, services, **more):
    """Returns a configuration. services maps names to further fields."""
    out = {
        "version": version, "routes": routes,
        "services": [
            dict({"name": n, "healthPath": "/health", "maxConnections": 2000, "protocol": "h1", "tls": False}, **f)
            for n, f in services.items()
        ],
        "limits": {"headerBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
    }
    out.update(more)
    return out


def find_root():
    here = os.path.dirname(os.path.abspath(__file__))
    return os.path.dirname(os.path.dirname(here))


def read_command(root):
    """Returns the command of the role that serves clients, from the deploy file."""
    with open(os.path.join(root, "deploy", "system.toml")) as lines:
        for line in lines:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return shlex.split(value.strip().strip('"'))
    raise RuntimeError("the deploy file has no run command")


ROOT = find_root()
COMMAND = read_command(ROOT)


def main(folder, play, limit=115):
    """Plays a case. Exits with 1 if the rule was broken, 0 if it held, and 2 if
    the case could not run."""

    async def run():
        fleet = Fleet(folder)
        try:
            await asyncio.wait_for(play(fleet), limit)
            fleet.note("rule %s; %d cases" % ("broken" if fleet.broken else "held", len(fleet.broken)))
            return 1 if fleet.broken else 0
        finally:
            await fleet.close()

    if not os.path.exists(os.path.join(ROOT, COMMAND[0])):
        print("the program of the deploy file is not built", file=sys.stderr)
        sys.exit(2)
    os.chdir(ROOT)
    try:
        code = asyncio.new_event_loop().run_until_complete(run())
    except Exception as problem:  # the case could not run
        print("could not run: %r" % problem, file=sys.stderr)
        code = 2
    print(("rule held", "rule broken", "could not run")[code], flush=True)
    os._exit(code)
