"""A backend leaves, the store comes back from an older copy, and the process beside the backend is restarted as planned."""

import asyncio
import os
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from mesh import DRAIN_S, STABLE_S, Backend, Client, Machine, Store, config, free_ports, run_case  # noqa: E402

# The drill: away for so long, back from a copy so old.
AWAY_S, COPY_AGE_S = 0.7, 2.0
# After the acknowledgement of the leave: the SIGTERM of the process beside it, the drill, and the backend's exit.
TERM_AFTER_S, DRILL_AFTER_S, EXIT_AFTER_S = 0.2, 0.5, 9.0
RESTART_DELAY_S = 0.3
DEADLINE_MS = 5_000
PAUSE_S = 0.05
WORK_S = 0.3
CLIENTS = 10


async def play(record, folder, machines, trouble):
    # The planned restart belongs to both runs; without trouble there is no drill. NO_RESTART=1 shows the drill alone.
    restarts = not os.environ.get("NO_RESTART")
    store = Store(record)
    await store.start(("127.0.9.9", free_ports("127.0.9.9", 1)[0]))
    for index, (zone, service) in enumerate([("zona-1", "frente"), ("zona-2", "archivo"), ("zona-3", "archivo")]):
        machines.append(Machine(record, folder, index, zone, service, store))
    front, beside, _ = machines
    routes = [("r-ver", "/ver/", "safe", 2_500, "archivo"), ("r-pedir", "/pedir/", "non_idempotent", 2_500, "archivo")]
    await store.set_config(config(7, routes, ["frente", "archivo"]))
    backends = []
    for machine in machines:
        await machine.start()
    for index, machine in enumerate(machines):
        backends.append(Backend(record, machine, f"i-{index}", work_s=WORK_S))
        await backends[index].start()
    for machine in machines:
        if not await machine.wait_ready(10):
            raise RuntimeError(f"{machine.name} is not ready")
    await asyncio.sleep(5)

    answers, over = [], asyncio.Event()

    async def ask(number):
        client, serial = Client(front.outbound), 0
        # The clients are spread over the time that a request takes.
        await asyncio.sleep(number * (WORK_S + PAUSE_S) / CLIENTS)
        while not over.is_set():
            serial += 1
            method, path = ("GET", "/ver/x") if (serial + number) % 2 else ("POST", "/pedir/x")
            ident, sent = f"c{number:x}{serial:04x}", time.monotonic()
            answer = await client.send(method, path, ident, DEADLINE_MS, b"x" * 200 if method == "POST" else b"")
            answers.append((method, ident, sent, answer))
            await asyncio.sleep(PAUSE_S)
        client.close()

    asking = [asyncio.create_task(ask(number)) for number in range(CLIENTS)]
    await asyncio.sleep(3)
    leaver = backends[1]
    if not leaver.runs:
        raise RuntimeError("the backend that is to leave got no request before")
    acked = await leaver.leave()
    record(f"{leaver.ident}: leave acknowledged by {beside.name}")

    async def at(after_s):
        await asyncio.sleep(max(0.0, acked + after_s - time.monotonic()))

    async def drill():
        if trouble:
            await at(DRILL_AFTER_S)
            await store.drill(AWAY_S, COPY_AGE_S)
        return time.monotonic()

    async def restart():
        if restarts:
            await at(TERM_AFTER_S)
            await beside.stop()
            await asyncio.sleep(RESTART_DELAY_S)
            await beside.start()

    disturbing = asyncio.gather(drill(), restart())
    await at(EXIT_AFTER_S)
    record(f"{leaver.ident}: exits, {len([run for run in leaver.runs if not run['answered']])} requests unanswered")
    exited = time.monotonic()
    await leaver.exit()
    store_back, _ = await disturbing
    await at(EXIT_AFTER_S + 2)
    over.set()
    await asyncio.gather(*asking)

    # Both machines on the way are in touch again STABLE_S after the restart and the end of the store's disruption.
    in_touch = max(acked, store_back + STABLE_S, beside.started + STABLE_S)
    late = [run for run in leaver.runs if run["at"] > acked + DRAIN_S]
    counted = [run for run in late if run["at"] > in_touch]
    unanswered = {run["id"] for run in late if not run["answered"]}
    for run in late:
        ends = [answer for _, ident, _, answer in answers if ident == run["id"]]
        status = ends[0].status if ends else None
        record(f"{run['method']} {run['id']}: reached {run['instance']} {run['at'] - acked:.2f} s after the "
               f"acknowledgement{', machines in touch' if run['at'] > in_touch else ''}; client got {status}")
    places = {}
    for backend in backends:
        for run in backend.runs:
            places.setdefault(run["id"], []).append(run["instance"])
    statuses = {}
    for method, ident, sent, answer in answers:
        record(f"{method} {ident}: sent {sent - acked:.2f} s, ended {answer.at - acked:.2f} s after the acknowledgement: "
               f"status {answer.status}, {answer.end}; ran at {places.get(ident, [])}")
        name = f"{method} {answer.status if answer.whole else answer.end}"
        statuses[name] = statuses.get(name, 0) + 1
    record(f"answers: {statuses}; exit {exited - acked:.2f} s after the acknowledgement")
    record(f"{len(late)} requests reached the backend later than {DRAIN_S} s after the acknowledgement, {len(counted)} of "
           f"them while all machines on the way were in touch, {len(unanswered)} never answered by it")
    for backend in backends:
        await backend.exit()
    return 1 if counted else 0


run_case(FOLDER, play)
