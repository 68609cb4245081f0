"""A backend beside a node, as PROTOCOL.md tells it. Its settings are a JSON text, the first argument.

It prints one line for each request that it begins to run and one for each that it ends. A request with `fatal` in its path
ends the process, as PAGES-NEWS.md tells.
"""

import asyncio
import json
import os
import random
import sys

from fleet import call, message, read_message

SETTINGS = json.loads(sys.argv[1])


def tell(text):
    sys.stdout.write(text + "\n")
    sys.stdout.flush()


class Backend:
    def __init__(self):
        self.running = 0
        self.slots = SETTINGS.get("slots", 140)
        self.queue = SETTINGS.get("queue", 200)
        self.free = asyncio.Semaphore(self.slots)
        self.waiting = 0

    async def leave(self):
        """Says that it leaves until that is acknowledged, serves on for a while, and exits."""
        path = f"POST /api/instances/{SETTINGS['id']}/leave"
        while True:
            answer = await call(tuple(SETTINGS["control"]), path, {}, timeout=1.0)
            tell(f"leave {answer and answer[0]}")
            if answer is not None and answer[0] == 200:
                break
            await asyncio.sleep(0.5)
        await asyncio.sleep(SETTINGS["serves_on_s"])
        os._exit(0)

    async def beat(self):
        sequence = 0
        until = SETTINGS.get("leaves_after_s")
        leaves_at = None if until is None else asyncio.get_running_loop().time() + until
        address = f"{SETTINGS['ip']}:{SETTINGS['port']}"
        while True:
            if leaves_at is not None and asyncio.get_running_loop().time() >= leaves_at:
                await self.leave()
            sequence += 1
            body = {
                "address": address, "born": SETTINGS["born"],
                "info": {"service": SETTINGS["service"], "version": "v1", "zone": SETTINGS["zone"],
                         "slots": self.slots},
                "status": {"state": "ready", "sequence": sequence, "cold_remaining_ms": 0},
            }
            path = f"POST /api/instances/{SETTINGS['id']}/heartbeat"
            answer = await call(tuple(SETTINGS["control"]), path, {"content-type": "application/json"},
                                json.dumps(body).encode(), timeout=1.0)
            if answer is None or answer[0] != 200:
                await asyncio.sleep(0.5)
            else:
                await asyncio.sleep(self.pause(leaves_at))

    def pause(self, leaves_at):
        pause = SETTINGS["beat_s"] * random.uniform(0.9, 1.1)
        if leaves_at is None:
            return pause
        return max(0.0, min(pause, leaves_at - asyncio.get_running_loop().time()))

    async def serve(self, reader, writer):
        try:
            while True:
                request = await read_message(reader)
                if request is None:
                    return
                answer = await self.answer(reader, *request)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, reader, first, headers, body):
        method, target, _ = first.split(" ", 2)
        if target == "/health":
            return message("HTTP/1.1 200 OK", {"x-instance-id": SETTINGS["id"]})
        name = headers.get("x-attempt-id", "")
        echo = {"x-attempt-id": name}
        if headers.get("x-expect-instance", SETTINGS["id"]) != SETTINGS["id"]:
            return message("HTTP/1.1 421 Misdirected Request", {**echo, "x-not-executed": "1"})
        if self.running >= self.slots and self.waiting >= self.queue:
            return message("HTTP/1.1 503 Service Unavailable", {**echo, "x-not-executed": "1"})
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        try:
            return await self.run(reader, method, target, headers, echo, body)
        finally:
            self.running -= 1
            self.free.release()

    async def run(self, reader, method, target, headers, echo, body):
        caller = headers.get("x-caller-service", "")
        tell(f"run {echo['x-attempt-id']} {method} {target} {caller} running={self.running}")
        if "fatal" in target and SETTINGS.get("fatal", True):
            os._exit(3)
        loop = asyncio.get_running_loop()
        until = loop.time() + SETTINGS.get("work_s", 0.1) * random.uniform(0.8, 1.2)
        while (left := until - loop.time()) > 0:
            # It drops a request when its connection closes.
            if reader.at_eof() or reader.exception():
                return None
            await asyncio.sleep(min(left, 0.05))
        text = b"x" * SETTINGS.get("body_bytes", 200)
        return message("HTTP/1.1 200 OK", {**echo, "x-response-seal": "s.1"}, text)


async def main():
    backend = Backend()
    server = await asyncio.start_server(backend.serve, SETTINGS["ip"], SETTINGS["port"], limit=1 << 22,
                                        backlog=1000)
    async with server:
        await backend.beat()


asyncio.run(main())
