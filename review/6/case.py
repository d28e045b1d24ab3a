"""RECOVER: unreadable entries under other keys remove running targets."""

import asyncio
import os
import random
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
import fleet2  # noqa: E402

DESK = ("127.18.0.1", 8080)
DOWN_S, AFTER_S = 1.2, 6


class Fleet(fleet2.Fleet):
    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        # When each request was first sent, and whether it was served.
        self.tries = []

    def served(self, begin, end):
        window = [ok for sent, ok in self.tries if begin <= sent < end]
        return sum(window), len(window)


async def caller(fleet, client):
    while True:
        flow, sent = fleet2.Flow(client, DESK), fleet.now()
        ok = False
        if await flow.connect() is None:
            _, how = await flow.request()
            ok = how == "200"
            flow.close()
        fleet.tries.append((sent, ok))
        await asyncio.sleep(random.uniform(0.1, 0.4))


async def play(fleets):
    fleet = Fleet("6", hosts=(2, 1, 1))
    fleets.append(fleet)
    fleet.services = ["race-desk"]
    for zone in fleet2.ZONES:
        fleet.add_server("race-desk", zone)
        fleet.add_server("race-desk", zone)
    fleet.configure([("door-checkin", DESK, "race-desk", "non_idempotent")])
    await fleet.add_clients()
    await fleet.start()
    begin = fleet.now()
    calls = [asyncio.ensure_future(caller(fleet, c)) for c in fleet.clients for _ in range(2)]
    await asyncio.sleep(8)
    for server in fleet.servers:
        if fleet.trouble:
            key = f"servers/old-{server.number:010x}"
            fleet.log("foreign-entry", key=key)
            fleet.store.put(key, b"\xff\x00")
    await asyncio.sleep(1)
    # The final fault comes right after a configuration was acknowledged.
    fleet.configure([("door-checkin", DESK, "race-desk", "non_idempotent")])
    for h in fleet.hosts:
        h.signal(signal.SIGKILL)
    fault = fleet.now()
    await asyncio.sleep(DOWN_S)
    for h in fleet.hosts:
        await h.process.wait()
        await h.launch()
    back = fleet.now()
    await asyncio.sleep(fleet.bounds["recoveryS"] + AFTER_S)
    for c in calls:
        c.cancel()
    before, of = fleet.served(begin, fault)
    fleet.log("before", served=before, requests=of)
    after, sent = fleet.served(back + fleet.bounds["recoveryS"], fleet.now())
    fleet.log("after", served=after, requests=sent)
    if 4 * before < of or not sent:
        raise RuntimeError("too little was served before the final fault")
    if 4 * after < sent:
        fleet.fail(f"RECOVER: {after} of {sent} requests sent later than {fleet.bounds['recoveryS']} s after the machines were back were served; {before} of {of} before the final fault")


fleet2.main(__file__, play)
