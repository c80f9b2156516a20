"""A planned stop of the machine at which orders arrive, while the orders wait for a slot of their instance."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))
import fleet as standins

GRACE_S = 6.0
LAST_SIXTH_S = GRACE_S * 5 / 6
LOSS_SLACK_S = 0.2
# Requests that are sent later than this after the SIGTERM are not counted.
LAST_SEND_S = 3.0
ROUTE_TIMEOUT_S = 8.0
CLIENT_DEADLINE_MS = 15000
WORK_S = 3.0
SLOTS = 4
ORDERS = 8


def is_excused(fleet, answer, stop):
    """True if the rule does not count the request: it was sent too late, its time was up, or its instance was still at work late."""
    time_was_up = answer.ended - answer.sent >= min(ROUTE_TIMEOUT_S, CLIENT_DEADLINE_MS / 1000)
    at_work_late = any(when <= stop + GRACE_S and when + WORK_S >= stop + LAST_SIXTH_S for when, _ in fleet.runs_of(answer.id))
    return answer.sent > stop + LAST_SEND_S or time_was_up or at_work_late


async def scenario(fleet):
    entry, _ = fleet.add_host("bryggen", "katalog", 40, lambda request: 0.05)
    fleet.add_host("bryggen", "bestilling", SLOTS, lambda request: WORK_S)
    fleet.add_host("sandviken", "katalog", 40, lambda request: 0.05)
    fleet.configure([fleet.rule("orders", "/orders/", "bestilling", timeout=ROUTE_TIMEOUT_S, target=4.0)])
    await fleet.start()
    if standins.TROUBLE:
        entry.signal(signal.SIGTERM)
    stop = fleet.record.now()
    # The readiness checks have not taken the machine out yet.
    await asyncio.sleep(1.0)
    answers = await asyncio.gather(*[fleet.send(entry, "POST", f"/orders/{number}", b"one stick", CLIENT_DEADLINE_MS)
                                     for number in range(ORDERS)])
    if standins.TROUBLE:
        fleet.record.write(f"relay {entry.name} ended with status {await asyncio.to_thread(entry.process.wait, 10)}")
    lost = []
    for answer in answers:
        waited = answer.ended - answer.sent
        # An orderly end of the connection: the process had read all bytes. Linux resets a connection that is closed with unread ones.
        unanswered = answer.end == "the connection ended without an answer" and waited > LOSS_SLACK_S
        if unanswered and not is_excused(fleet, answer, stop):
            lost.append(answer)
            fleet.record.say(f"order {answer.id}: sent {answer.sent - stop:.2f} s after the stop began, connection ended without an answer "
                             f"{waited:.2f} s later, runs: {fleet.runs_of(answer.id)}")
    fleet.record.say(f"{len(lost)} of {ORDERS} orders were read and never answered")
    return not lost


standins.play(__file__, scenario)
