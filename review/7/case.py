"""CONFIG: a retransmitted opening packet goes to the service of the version before."""

import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import fleet2  # noqa: E402

DESK = ("127.18.0.1", 8080)
SERVICES = ("race-desk", "race-desk-2")
MAX_FLOWS = 20
CALLERS = 30


class Fleet(fleet2.Fleet):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        # Service of the newest version, and when a server first saw its effect
        # through each machine.
        self.current, self.effect, self.late, self.releases = None, {}, set(), 0

    def publish(self, service):
        self.current, self.effect = service, {}
        self.releases += 1
        self.configure([(f"door-checkin-{self.releases}", DESK, service, "non_idempotent")])

    def ran(self, server, request, p, via):
        super().ran(server, request, p, via)
        _, sent, taken, machine, copy = self.taken_by[(p.key, server.id)]
        if server.service == self.current:
            self.effect[machine] = min(taken, self.effect.get(machine, taken))
            return
        late = sent - self.effect.get(machine, sent)
        if late > self.bounds["revertSlackMs"] / 1000 and p.key not in self.late:
            self.late.add(p.key)
            self.fail(
                f"CONFIG: request {request} was run by {server.id} of {server.service}; its opening packet (copy {copy}) was sent "
                f"{late * 1000:.0f} ms after a server had seen the effect of version {self.version} through {machine}"
            )


async def caller(fleet, client):
    """Keeps a flow open for a few requests, and opens the next one."""
    while True:
        flow, end = fleet2.Flow(client, DESK), time.monotonic() + random.uniform(2, 5)
        if await flow.connect() is None:
            while time.monotonic() < end and not flow.reset:
                await flow.request()
                await asyncio.sleep(random.uniform(0.3, 1))
            flow.close()
        await asyncio.sleep(random.uniform(0.05, 0.3))


async def play(fleets):
    fleet = Fleet("7", hosts=(2, 1, 1))
    fleets.append(fleet)
    fleet.services, fleet.max_connections = list(SERVICES), MAX_FLOWS
    for service in SERVICES:
        for zone in fleet2.ZONES:
            fleet.add_server(service, zone, max_flows=MAX_FLOWS, slots=8)
    fleet.publish(SERVICES[0])
    await fleet.add_clients()
    await fleet.start()
    calls = [asyncio.ensure_future(caller(fleet, c)) for c in fleet.clients for _ in range(CALLERS)]
    await asyncio.sleep(12)
    for i in range(1, 4):
        if fleet.trouble:
            fleet.publish(SERVICES[i % 2])
        await asyncio.sleep(8)
    for c in calls:
        c.cancel()


fleet2.main(__file__, play)
