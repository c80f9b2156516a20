"""After the open connections to the instances of a service have gone silent once, the relays beside them never serve it again (Starved)."""

import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin

SLOTS = 8
DEADLINE_MS = 6000
TIMEOUT_S = 1.0
# More than the slots of both instances together, so that all slots are in use.
ORDER_CLIENTS = 20
BEFORE_S = 3
AFTER_S = 60


async def case(site):
    a = site.add_machine("machine-a", "catalogue", slots=SLOTS)
    orders = [site.add_machine("machine-b", "orders", slots=SLOTS, work=lambda request: (0.3, b"order accepted")),
              site.add_machine("machine-c", "orders", zone="zone-2", slots=SLOTS, work=lambda request: (0.3, b"order accepted"))]
    await site.start({"/orders/": ("non_idempotent", "orders", TIMEOUT_S, 1.5, 0, 2),
                      "/catalogue/": ("idempotent", "catalogue", TIMEOUT_S, 1.5, 2, 2)})
    load = standin.Load(site, a, DEADLINE_MS, pause_s=0.05)
    load.add_clients(ORDER_CLIENTS, "order", "POST", "/orders/new", b"one stick")
    load.add_clients(4, "read", "GET", "/catalogue/page")
    start = time.monotonic()
    await asyncio.sleep(BEFORE_S)
    struck = time.monotonic()
    if standin.trouble():
        for machine in orders:
            machine.instance.silence_connections()
    await asyncio.sleep(AFTER_S)
    await load.stop()
    before = load.served("before", start, struck - 0.5)
    recover = standin.BOUNDS["RecoverS"]
    load.served(f"later than {recover} s after", struck + recover, time.monotonic())
    # The gate counts all requests, also those before the disruption.
    counts = load.served("in all", start, time.monotonic())
    if min(served for served, _ in before.values()) < 20:
        raise standin.CannotRun("the requests are not served before the disruption")
    for machine in orders:
        free = machine.instance.slots - machine.instance.running
        site.record.say(f"{machine.name}: its instance is ready and has {free} of {machine.instance.slots} slots free")
    return standin.is_starved("order", counts)


standin.run_case(HERE, case)
