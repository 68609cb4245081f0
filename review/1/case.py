"""Clients that read slowly while the machine that serves them is stopped as planned."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
from mesh import Backend, Client, Machine, Store, config, free_ports, run_case  # noqa: E402

# 900 kB, below the node's limit of 1 MiB, read at 400 kB/s: 2.25 s for the answer, within the route's timeout.
ANSWER_BYTES = 900_000
RATE = 400_000
WORK_S = 0.1
CLIENTS = 8
TIMEOUT_MS = 2_500
DEADLINE_MS = 5_000
# The requests are sent this long after SIGTERM: before two readiness questions a second apart have been missed.
SENT_AFTER_S = 1.9


async def play(record, folder, machines, trouble):
    store = Store(record)
    await store.start(("127.0.9.9", free_ports("127.0.9.9", 1)[0]))
    for index, (zone, service) in enumerate([("zona-1", "frente"), ("zona-2", "archivo"), ("zona-3", "archivo")]):
        machines.append(Machine(record, folder, index, zone, service, store))
    front = machines[0]
    routes = [("r-ver", "/ver/", "safe", TIMEOUT_MS, "archivo"),
              ("r-pedir", "/pedir/", "non_idempotent", TIMEOUT_MS, "archivo")]
    await store.set_config(config(7, routes, ["frente", "archivo"]))
    backends = []
    for machine in machines:
        await machine.start()
    for index, machine in enumerate(machines):
        backend = Backend(record, machine, f"i-{index}", work_s=WORK_S, answer_bytes=ANSWER_BYTES)
        await backend.start()
        backends.append(backend)
    for machine in machines:
        if not await machine.wait_ready(10):
            raise RuntimeError(f"{machine.name} is not ready")
    await asyncio.sleep(4)

    # Each client has used its connection before, at full speed or slowly.
    clients = [Client(front.outbound, RATE) for _ in range(CLIENTS)]
    warm = await asyncio.gather(*(client.send("GET", "/ver/w", f"aa{index:02x}", DEADLINE_MS)
                                  for index, client in enumerate(clients)))
    for index, answer in enumerate(warm):
        record(f"warm-up {index}: {answer.status} {answer.got}/{answer.length} {answer.end}")
    if not all(answer.whole for answer in warm):
        raise RuntimeError("the path doesn't serve slow readers even without trouble")

    term = time.monotonic()
    stopping = asyncio.create_task(front.stop()) if trouble else None
    await asyncio.sleep(SENT_AFTER_S)

    async def one(index, client):
        method, path = ("GET", "/ver/x") if index % 2 == 0 else ("POST", "/pedir/x")
        ident, sent = f"cc{index:02x}", time.monotonic()
        answer = await client.send(method, path, ident, DEADLINE_MS, b"x" * 200 if method == "POST" else b"")
        runs = [run for backend in backends for run in backend.runs if run["id"] == ident]
        record(f"{method} {ident}: sent {sent - term:.2f} s, ended {answer.at - term:.2f} s after SIGTERM's time: "
               f"status {answer.status}, {answer.got} of {answer.length} bytes, {answer.end}; "
               f"ran {len(runs)} times, {sum(run['answered'] for run in runs)} whole answers of backends")
        return answer, runs, answer.at - sent

    results = await asyncio.gather(*(one(index, client) for index, client in enumerate(clients)))
    if stopping:
        await stopping
    for client in clients:
        client.close()
    # LOST, around planned work: passed on to a backend, and the connection ended without a complete answer, before the
    # deadline and the route's timeout.
    lost = [answer for answer, runs, took in results
            if runs and all(run["answered"] for run in runs) and not answer.whole
            and answer.end != "deadline" and took < min(DEADLINE_MS, TIMEOUT_MS) / 1000]
    whole = sum(answer.whole for answer, _, _ in results)
    record(f"{whole} of {CLIENTS} requests answered whole, {len(lost)} lost")
    for backend in backends:
        await backend.exit()
    return 1 if lost else 0


run_case(FOLDER, play)
