"""A request that crashes each instance that runs it comes again and again to a service with few requests."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins-3"))
import fleet as standins  # noqa: E402

HOST = "ledger.example"
CRASHING = "/ledger/crashing"
DOWN_S = 3.0
RESEND_S = 4.0
SENDS = 12
CONTACT_S = standins.BOUNDS["ContactS"]


async def case(fleet):
    for zone in ("a", "b"):
        for service in ("shop", "ledger", "ledger"):
            fleet.add_machine(zone, service)
    crashes = []

    def run_of(instance):
        async def run(request):
            if standins.trouble() and CRASHING in request.first:
                crashes.append(fleet.record.now())
                asyncio.ensure_future(instance.crash(DOWN_S))
                await asyncio.sleep(60)
            return await instance.default_run(request)
        return run

    for machine in fleet.machines:
        machine.instance.run = run_of(machine.instance)
    fleet.configure([
        {"host": "shop.example", "name": "shop", "kind": "idempotent", "prefix": "/shop/", "service": "shop"},
        {"host": HOST, "name": "ledger", "kind": "idempotent", "prefix": "/ledger/", "service": "ledger", "timeout": 2,
         "attempts": 2},
    ])
    if not await fleet.start():
        await standins.not_ready()
    await asyncio.sleep(2)
    stop = asyncio.Event()

    async def visit(machine, host, path, mean_s):
        client = standins.Client(machine)
        while not stop.is_set():
            await asyncio.sleep(fleet.random.expovariate(1 / mean_s))
            await client.send("GET", host, path + "%x" % fleet.random.getrandbits(32), 5)

    visits = [asyncio.ensure_future(visit(machine, "shop.example", "/shop/", 0.5)) for machine in fleet.machines]
    visits.append(asyncio.ensure_future(visit(fleet.machines[0], HOST, "/ledger/", 12)))
    # The same request comes at two machines in turn, each time after the former one has failed.
    clients = [standins.Client(machine) for machine in fleet.machines if machine.service == "shop"]
    for number in range(SENDS):
        await clients[number % len(clients)].send("GET", HOST, CRASHING, 2)
        await asyncio.sleep(RESEND_S)
    stop.set()
    for task in visits:
        task.cancel()

    arrivals = [run for run in fleet.runs if CRASHING in run[3].first]
    fleet.record.write("%d arrivals of the request, %d crashes" % (len(arrivals), len(crashes)))
    if len(crashes) < 3:
        return []
    bound = crashes[2] + CONTACT_S
    late = [run for run in arrivals if fleet.answers[run[1]].sent > bound]
    fleet.record.write("the third crash at %.3f s; %d arrivals of sends after %.3f s" % (crashes[2], len(late), bound))
    if len(late) > 3:
        return ["BUDGET: the request had crashed three instances by %.3f s and reached instances %d times more, sent after %.3f s" % (
            crashes[2], len(late), bound)]
    return []


standins.run_case(FOLDER, case)
