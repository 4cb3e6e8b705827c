"""A backend that has deregistered gets new work after all nodes were killed at the same moment (DRAIN)."""

import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "stand-ins-2"))

from fleet import *

HOST = "shop.example"
SERVES_ON = 12.0  # seconds from the acknowledgement until the leaving backend exits; "at times many seconds"
BEAT_DELAY = 2.0  # seconds by which the last heartbeat before the departure arrives late
WORK = 1.0  # seconds of work of an order


async def case(fleet):
    nodes = [await fleet.add(f"n{i}", "orders", zone=f"z{i % 2}", work=WORK) for i in range(1, 5)]
    first = nodes[0]
    leaving = first.backend
    await fleet.store.put_config(config(1, {"orders": route(HOST, "/orders/", "orders", "unsafe")}, ["orders"]))
    await fleet.start()
    for node in nodes:
        await fleet.wait_served(node, "/orders/warm-up", HOST, "POST")
    await asyncio.sleep(BOUNDS["contact"] + 0.5)

    # The backend sends its last heartbeat, which is late on its way, and deregisters.
    leaving.stop_beats()
    leaving.sequence += 1
    late_sequence = leaving.sequence
    beat_sent_at = time.monotonic()
    await asyncio.sleep(0.2)
    if await leaving.deregister() != 200:
        raise CannotRun("the departure was not acknowledged")
    acknowledged_at = time.monotonic()

    await asyncio.sleep(0.5)
    if TROUBLE:
        for node in nodes:
            node.kill()
        await asyncio.sleep(0.5)
        for node in nodes:
            node.start()
    for node in nodes:
        await node.wait_ready()
    restarted_at = time.monotonic()
    await asyncio.sleep(max(0.0, beat_sent_at + BEAT_DELAY - time.monotonic()))
    status = await leaving.beat(late_sequence, "ready")
    fleet.record.note(f"the heartbeat {late_sequence} of {leaving.instance} (ready), sent "
                      f"{time.monotonic() - beat_sent_at:.1f} s ago, arrives at {first.name}: {status}")

    # Judged: requests from the moment at which every node has been in touch for the whole of `contact`.
    judged_from = max(restarted_at + BOUNDS["contact"], acknowledged_at + BOUNDS["drain"])
    await asyncio.sleep(max(0.0, judged_from + 0.2 - time.monotonic()))
    fleet.record.note("from here on all nodes are in touch")
    ends_at = acknowledged_at + SERVES_ON
    answers = {}

    async def client(node):
        while time.monotonic() < ends_at:
            attempt, answer, _ = await fleet.request(node, "POST", "/orders/new", HOST, b"order")
            answers[attempt] = answer.status if answer else None
            await asyncio.sleep(0.1)

    async def end_of_the_backend():
        await asyncio.sleep(ends_at - time.monotonic())
        leaving.exit()

    await asyncio.gather(end_of_the_backend(), *[client(node) for node in nodes[1:] for _ in range(3)])
    late = [run for run in leaving.runs if run.at > judged_from]
    lost = [run for run in late if answers.get(run.attempt) != 200]
    for run in late:
        fleet.record.note(f"LATE: {run.attempt} reached {leaving.instance} {run.at - acknowledged_at:.1f} s after the "
                          f"acknowledgement, and was answered {answers.get(run.attempt)}")
    if late:
        raise Broken(f"{len(late)} orders reached a backend later than {BOUNDS['drain']} s after its departure was "
                     f"acknowledged, {len(lost)} of them were lost when it ended")


main(HERE, case)
