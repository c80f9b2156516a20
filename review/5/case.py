"""While the collector of its log stands still, a relay answers no request at all (rule CONFIG)."""

import asyncio
import os
import signal
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standin

TIMEOUT_S = 1.0
# The rule: half a second after TimeoutS.
SLACK_S = 0.5
DEADLINE_MS = 3000
BEFORE_S = 5
STALL_S = 45
AFTER_S = 5


async def case(site):
    a = site.add_machine("machine-a", "catalogue", slots=16)
    b = site.add_machine("machine-b", "catalogue", zone="zone-2", slots=16)
    a.has_collector = b.has_collector = True
    await site.start({"/catalogue/": ("idempotent", "catalogue", TIMEOUT_S, 1.5, 1, 2)})
    loads = [standin.Load(site, machine, DEADLINE_MS, pause_s=0.2) for machine in site.machines]
    for load in loads:
        load.add_clients(6, "read", "GET", "/catalogue/page")
    await asyncio.sleep(BEFORE_S)
    if standin.trouble():
        site.record("machine-a: the log collector stands still")
        a.collector.send_signal(signal.SIGSTOP)
    await asyncio.sleep(STALL_S)
    if standin.trouble():
        site.record("machine-a: the log collector goes on")
        a.collector.send_signal(signal.SIGCONT)
    await asyncio.sleep(AFTER_S)
    broken = False
    for load in loads:
        await load.stop()
        answers = [(answer["ended"] - answer["began"], answer["complete"]) for _, answer in load.results]
        at_timeout = [entry for entry in answers if not entry[1] or entry[0] > TIMEOUT_S]
        later = [entry for entry in at_timeout if not entry[1] or entry[0] > TIMEOUT_S + SLACK_S]
        broken = broken or (len(later) >= 8 and 2 * len(later) > len(at_timeout))
        site.record.say(f"{load.machine.name}: {len(answers)} requests, {len(at_timeout)} without an answer at TimeoutS, {len(later)} of "
                        f"them 0.5 s later, {sum(not complete for _, complete in answers)} never answered")
    return broken


standin.run_case(HERE, case)
