"""ROUTE: an entry with missing fields, from another writer, names a target."""

import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import fleet2  # noqa: E402

DESK, VAULT = ("127.18.0.1", 8080), ("127.18.0.2", 8443)


def foreign_entry(server):
    """Lacks version, coldRemainingMs, seq and born, which every entry has."""
    return {
        "service": "race-desk", "address": f"{server.address[0]}:{server.address[1]}", "zone": server.zone,
        "capacity": server.slots, "state": "ready",
    }


class Fleet(fleet2.Fleet):
    def ran(self, server, request, p, via):
        super().ran(server, request, p, via)
        allowed = {DESK: "race-desk", VAULT: "cert-vault"}[(p.dst, p.dport)]
        if server.service != allowed:
            self.fail(f"ROUTE: request {request} to {p.dst}:{p.dport} was run by {server.id} of {server.service}; every configuration sends it to {allowed}")


async def caller(fleet, client, route, method):
    while True:
        flow = fleet2.Flow(client, route)
        if await flow.connect() is None:
            await flow.request(method=method)
            flow.close()
        await asyncio.sleep(random.uniform(0.05, 0.25))


async def play(fleets):
    fleet = Fleet("7", hosts=(2, 1, 1))
    fleets.append(fleet)
    fleet.services = ["race-desk", "cert-vault"]
    for zone in fleet2.ZONES:
        fleet.add_server("race-desk", zone)
        fleet.add_server("race-desk", zone)
        fleet.add_server("cert-vault", zone, work=0.005, body=20000)
    fleet.configure([("door-checkin", DESK, "race-desk", "non_idempotent"), ("finish-cert", VAULT, "cert-vault", "download")])
    await fleet.add_clients()
    await fleet.start()
    calls = [asyncio.ensure_future(caller(fleet, c, DESK, "POST")) for c in fleet.clients for _ in range(2)]
    calls += [asyncio.ensure_future(caller(fleet, c, VAULT, "GET")) for c in fleet.clients]
    await asyncio.sleep(6)
    vaults = [s for s in fleet.servers if s.service == "cert-vault"]
    for _ in range(3):
        for server in vaults:
            if fleet.trouble:
                fleet.log("foreign-entry", key=f"servers/{server.id}")
                fleet.store.put(f"servers/{server.id}", foreign_entry(server))
            await asyncio.sleep(2)
    for c in calls:
        c.cancel()


fleet2.main(__file__, play)
