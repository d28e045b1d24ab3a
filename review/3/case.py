"""DRAIN: an entry of another writer in the store."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin"))
import fleet as f  # noqa: E402

ZONES = ["a", "b", "c"]
DRAIN_BOUND = 3.0
PLAY_UNTIL = 26.0


async def play(fleet):
    address = fleet.addr(9, 1)
    fleet.store.put("op/config", f.config(3, [f.route_entry(1, address, 443, "desk")], {"desk": {}}))
    for z, zone in enumerate(ZONES):
        for i in range(3):
            f.Server(fleet, "desk", zone, 1 + 10 * z + i, capacity=8).publish()
    await fleet.add_hosts(ZONES, 2)
    clients = [f.Client(fleet, zone, 1 + z) for z, zone in enumerate(ZONES)]
    by_addr = {h.addr: h.name for h in fleet.hosts}
    ends = {}

    async def one(client):
        end = await client.open_flow(address, 443).fetch()
        ends[end] = ends.get(end, 0) + 1

    async def traffic():
        n = 0
        while fleet.now() < PLAY_UNTIL:
            n += 1
            fleet.spawn(one(clients[n % 3]))
            await asyncio.sleep(0.01)

    await fleet.until(6.0)
    load = fleet.spawn(traffic())
    await fleet.until(9.0)
    if fleet.trouble:
        # Fields are missing (version, coldRemainingMs, seq), so that the entry
        # names no server to use. Its address is that of no server.
        fleet.store.put(
            "servers/i-5ee1",
            {
                "service": "desk", "address": "%s:8080" % fleet.addr(8, 1), "zone": "a", "capacity": 4294967296, "state": "ready",
                "born": int(time.time() * 1000),
            },
        )
        fleet.note("another writer's entry servers/i-5ee1 is in the store")
    await fleet.until(12.0)
    leaving = [next(s for s in fleet.servers if s.zone == zone) for zone in ZONES]
    acked = {}
    for server in leaving:
        server.state = "draining"
        acked[server] = server.publish()
        fleet.note("%s in zone %s announces draining; acknowledged" % (server.key, server.zone))
    await load
    await asyncio.sleep(3)
    for server in fleet.servers:
        fleet.note("%s in zone %s, %s, took %d flows" % (server.key, server.zone, server.state, len(server.taken)))
    for server in leaving:
        for at, sent, _, host in server.taken:
            if at - acked[server] > DRAIN_BOUND:
                fleet.fail(
                    "DRAIN: a request that was sent at %.3f reached %s at %.3f through %s, %.3f s after it was acknowledged as draining"
                    % (sent, server.key, at, by_addr[host], at - acked[server])
                )
    fleet.note("the clients' requests ended: %s" % ends)
    for host in fleet.hosts:
        lines = host.log_lines("invalid update")
        fleet.note("%s logged %d updates of peers that it rejected; the first: %s" % (host.name, len(lines), lines[:1]))


f.main(HERE, play)
