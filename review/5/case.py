"""A machine in touch keeps an old configuration too long after the others of its zone, its readers among them, have lost power (CONFIG)."""

import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin

SERVICES = ["catalogue", "orders", "patterns", "workshop"]
DARK_S = 5
OLD_RULES = {f"/{name}/": ("idempotent", name, 1.0, 1.5, 1, 2) for name in SERVICES}


async def case(site):
    record = site.record
    for zone in site.zones:
        for service in SERVICES:
            site.add_machine(f"{zone}-{service}", service, zone=zone, slots=16)
    await site.start(OLD_RULES)
    # A machine becomes a reader some seconds after the start; the others stop reading then.
    loads = [standin.Load(site, machine, 2000, pause_s=0.2) for machine in site.machines]
    for load in loads:
        load.add_clients(2, "read", "GET", f"/{load.machine.service}/page")
    await asyncio.sleep(12)
    zone = [machine for machine in site.machines if machine.zone == site.zones[0]]
    now = time.monotonic()
    readers = [machine for machine in zone if now - site.store.last_watch.get(machine.store_address[0], 0) < 5]
    record(f"readers of {site.zones[0]}: {', '.join(machine.name for machine in readers)}")
    if len(readers) != 2:
        raise standin.CannotRun("the zone has not two readers")
    others = [machine for machine in zone if machine not in readers]
    dark, survivor = readers + others[:1], others[1]
    if standin.trouble():
        for machine in dark:
            # A machine without power does not respond.
            machine.signal(signal.SIGSTOP)
            machine.instance.silence_connections()
            machine.instance.server.close()
            machine.instance.beat_task.cancel()
    await asyncio.sleep(0.1)
    site.put_configuration(OLD_RULES | {"/added/": ("idempotent", survivor.service, 1.0, 1.5, 1, 2)})
    acknowledged = time.monotonic()
    in_touch = [survivor] + [machine for machine in site.machines if machine.zone != site.zones[0]]
    looks = [standin.Load(site, machine, 2000, pause_s=0.05) for machine in in_touch]
    for look in looks:
        look.add_clients(1, "look", "GET", "/added/page")
    await asyncio.sleep(DARK_S)
    await asyncio.gather(*[load.stop() for load in loads + looks])
    late = 0
    for look in looks:
        refused = [answer["began"] - acknowledged for _, answer in look.results if answer["status"] == 404]
        after_bound = [after for after in refused if after > standin.BOUNDS["ConfigApplyS"]]
        late += len(after_bound)
        record.say(f"{look.machine.name}: {len(look.results)} requests on the added route, 404 until {max(refused, default=0):.3f} s after "
                   f"the acknowledgement, {len(after_bound)} of them sent later than ConfigApplyS")
    return late > 0


standin.run_case(HERE, case)
