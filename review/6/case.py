"""CONFIG and DRAIN: large unreadable entries keep every host from following the store."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import fleet2  # noqa: E402

OLD, NEW = ("127.18.0.1", 8080), ("127.18.0.1", 8443)
ENTRIES, ENTRY_BYTES = 5, 1_000_000


class Fleet(fleet2.Fleet):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        # When the new version and the state draining were acknowledged.
        self.changed = self.drained = None
        self.drainer = None

    def ran(self, server, request, p, via):
        super().ran(server, request, p, via)
        _, sent, taken, machine, _ = self.taken_by[(p.key, server.id)]
        if (p.dst, p.dport) == OLD and self.changed is not None and sent - self.changed > self.bounds["configApplyMs"] / 1000:
            self.fail(f"CONFIG: request {request} was run with a dropped route, {sent - self.changed:.1f} s after the version without it was acknowledged, through {machine}")
        if server is self.drainer and self.drained is not None and taken - self.drained > self.bounds["drainMs"] / 1000:
            self.fail(f"DRAIN: request {request} reached {server.id} {taken - self.drained:.1f} s after its draining was acknowledged, through {machine}")

    def refused(self, flow, sent):
        if flow.route == NEW and self.changed is not None and sent - self.changed > self.bounds["configApplyMs"] / 1000:
            self.fail(f"CONFIG: {fleet2.flow_text(flow.key)} was refused, {sent - self.changed:.1f} s after the version with its route was acknowledged")


async def caller(fleet, client, route):
    while True:
        flow, sent = fleet2.Flow(client, route), fleet.now()
        how = await flow.connect()
        if how is None:
            await flow.request()
            flow.close()
        elif how == "refused":
            fleet.refused(flow, sent)
        await asyncio.sleep(random.uniform(0.2, 0.6))


async def play(fleets):
    fleet = Fleet("6", hosts=(2, 1, 1))
    fleets.append(fleet)
    fleet.services = ["race-desk"]
    for zone in fleet2.ZONES:
        fleet.add_server("race-desk", zone)
        fleet.add_server("race-desk", zone)
    fleet.configure([("door-checkin", OLD, "race-desk", "non_idempotent")])
    await fleet.add_clients()
    await fleet.start()
    calls = [asyncio.ensure_future(caller(fleet, c, route)) for c in fleet.clients for route in (OLD, NEW)]
    await asyncio.sleep(6)
    for _ in range(ENTRIES):
        if fleet.trouble:
            key = f"servers/i-{random.getrandbits(40) | 1 << 39:010x}"
            fleet.log("foreign-entry", key=key, bytes=ENTRY_BYTES)
            fleet.store.put(key, b"\xff" + random.randbytes(ENTRY_BYTES - 1))
        await asyncio.sleep(0.05)
    await asyncio.sleep(2)
    _, fleet.changed = fleet.configure([("door-checkin-2", NEW, "race-desk", "non_idempotent")])
    fleet.drainer = fleet.servers[0]
    fleet.drainer.state = "draining"
    fleet.store.announce(f"servers/{fleet.drainer.id}", fleet.drainer.entry())
    fleet.drained = fleet.now()
    await asyncio.sleep(12)
    for c in calls:
        c.cancel()


fleet2.main(__file__, play)
