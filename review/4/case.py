"""A backend that leaves soon after its machine's time of day has jumped back; see claim.txt."""

import asyncio
import pathlib
import random
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from fleet import TROUBLE, CannotRun, Fleet, call, config_of, main, route  # noqa: E402

SERVICE = "order-desk"
SERVICES = [SERVICE] * 3
# The backend of this machine starts last and leaves.
LEAVER = 2
# How far the machine's time of day is ahead while the backend starts; then it jumps back. The real clock is left alone:
# the backend states the start time that it would have read.
AHEAD_MS = 2_400
# The backend leaves this long after its start, and serves on for a while after the acknowledgement.
LEAVES_AFTER_S = 1.5
SERVES_ON_S = 8.0
REQUESTS_PER_S = 60
DRAIN_S = 2.0


async def case(record):
    routes = [route("r-crew", "/crew/", "safe", SERVICE), route("r-order", "/order/", "non_idempotent", SERVICE)]
    fleet = Fleet(record, SERVICES, config_of(routes, [SERVICE]), {"slots": 245, "work_s": 0.05})
    sent, ran, acknowledged = {}, {}, []

    def on_line(machine, name, line):
        words = line.split()
        if words[0] == "run":
            ran[words[1]] = (record.now(), name)
            if machine.index == LEAVER:
                record.note(f"{name} runs {words[1]} {words[2]} {words[3]}")
        else:
            record.note(f"{name} says that it leaves: {words[1]}")
            if words[1] == "200" and not acknowledged:
                acknowledged.append(record.now())

    async def send(serial):
        machine = random.choice(fleet.machines)
        name = f"{serial:x}51"
        line = random.choice(["GET /crew/1", "POST /order/1"])
        sent[name] = record.now()
        answer = await call(machine.outbound, line, {"x-attempt-id": name, "x-deadline-ms": "5000"})
        record.note(f"{name} {line} sent at {sent[name]:.3f} by machine {machine.index}: {answer and answer[0]}")

    async def load():
        serial = 0
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            serial += 1
            fleet.spawn(send(serial))

    fleet.on_line = on_line
    leaver = fleet.machines[LEAVER]
    try:
        await fleet.start(but=[leaver])
        await fleet.await_ready()
        fleet.spawn(load())
        await asyncio.sleep(3)
        ahead_ms = AHEAD_MS if TROUBLE else 0
        leaver.start_backend(born=int(time.time() * 1000) + ahead_ms, leaves_after_s=LEAVES_AFTER_S,
                             serves_on_s=SERVES_ON_S)
        await asyncio.sleep(LEAVES_AFTER_S + SERVES_ON_S + 3)
    finally:
        fleet.end()
    if not acknowledged:
        raise CannotRun("the leave was not acknowledged")
    own = [name for name, (_, backend) in ran.items() if backend.startswith(f"i-{LEAVER}-")]
    late = [name for name in own if sent.get(name, 0) > acknowledged[0] + DRAIN_S]
    last = max((ran[name][0] for name in own), default=0) - acknowledged[0]
    record.say(f"leave acknowledged at {acknowledged[0]:.3f}; the backend ran {len(own)} requests, {len(late)} of "
               f"them sent later than {DRAIN_S} s after that, the last {last:.3f} s after it")
    return bool(late)


main(HERE, case)
