"""A request that crashes the instances that run it comes again after each machine was stopped and started in turn."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as standins

CONTACT_S = 3.0
MAX_LATE_RETRIES = 3
# Time from the start of a relay to the next request from a client of its machine that crashes instances.
RETRY_AFTER_START_S = 4.0
RETRY_GAP_S = 4.0
INSTANCE_DOWN_S = 2.0
WORK_S = 0.15
CLIENTS_PER_HOST = 3
CRASHING_PATH = "/orders/crashing"


async def scenario(fleet):
    for zone in ("bryggen", "sandviken", "fana"):
        fleet.add_host(zone, "bestilling", 40, lambda request: WORK_S)
    crashes = []

    async def restart(instance):
        await asyncio.sleep(INSTANCE_DOWN_S)
        await instance.restart()

    def crash(instance, request):
        if request.target != CRASHING_PATH:
            return False
        crashes.append((fleet.record.now(), request.id))
        instance.crash()
        asyncio.get_running_loop().create_task(restart(instance))
        return True

    for instance in fleet.instances:
        instance.on_run = crash
    fleet.configure([fleet.rule("orders", "/orders/", "bestilling")])
    await fleet.start()

    async def client(host, number):
        while True:
            await fleet.send(host, "POST", f"/orders/{host.name}/{number}", b"one stick")
            await asyncio.sleep(0.2)

    clients = [asyncio.create_task(client(host, number)) for host in fleet.hosts for number in range(CLIENTS_PER_HOST)]
    started = {host.name: 0.0 for host in fleet.hosts}
    sent = []

    async def send_crashing(host):
        in_touch = fleet.record.now() - started[host.name] > CONTACT_S
        answer = await fleet.send(host, "POST", CRASHING_PATH, b"the same body")
        sent.append((answer, in_touch))

    for host in fleet.hosts:
        await send_crashing(host)
        await asyncio.sleep(RETRY_GAP_S)
    fleet.record.say(f"before the restarts: {len(crashes)} crashes by {len(sent)} requests")
    for host in fleet.hosts:
        if standins.TROUBLE:
            host.signal(signal.SIGTERM)
            await asyncio.to_thread(host.process.wait, 10)
            host.start_relay()
            started[host.name] = fleet.record.now()
            await fleet.wait_ready([host])
        await asyncio.sleep(RETRY_AFTER_START_S)
        for _ in range(2):
            await send_crashing(host)
            await asyncio.sleep(RETRY_GAP_S)
    for task in clients:
        task.cancel()
    third = sorted(when for when, _ in crashes)[2] if len(crashes) > 2 else float("inf")
    reached = {request_id for _, request_id in crashes}
    late = [answer for answer, in_touch in sent if in_touch and answer.sent > third + CONTACT_S and answer.id in reached]
    fleet.record.say(f"{len(crashes)} crashes at {[round(when, 1) for when, _ in crashes]}; {len(late)} retries that machines in touch sent "
                     f"later than ContactS after the third crash reached instances")
    return len(late) <= MAX_LATE_RETRIES


standins.play(__file__, scenario)
