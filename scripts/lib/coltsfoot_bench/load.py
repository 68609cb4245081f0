"""The load client as a process, and the series that it prints."""

import json
import time

from .cluster import BINARIES
from .errors import BenchError

POLL_S = 0.02
START_TIMEOUT_S = 10
GRACE_S = 60


class Load:
    """One run of the load client."""

    def __init__(self, cluster, rates, duration_s, seed, interval_ms=250, more=()):
        self.key_log = cluster.group.folder / f"load-{seed}.keys"
        self.duration_s = duration_s
        command = [
            BINARIES / "coltsfoot-load",
            "--schema", cluster.schema,
            "--duration-s", duration_s,
            "--interval-ms", interval_ms,
            "--key-log", self.key_log,
            "--seed", seed,
            *more,
        ]
        for address in cluster.client_addresses():
            command += ["--target", address]
        for operation, rate in rates.items():
            command += ["--rate", f"{operation}={rate}"]
        self.process = cluster.group.start("load", command)
        self.begin = self._wait_for_start()

    def _wait_for_start(self):
        end = time.monotonic() + START_TIMEOUT_S
        while "started" not in self.process.text():
            if not self.process.is_running() or time.monotonic() > end:
                raise BenchError(f"the load did not start:\n{self.process.tail()}")
            time.sleep(POLL_S)
        return time.monotonic()

    def sleep_until(self, offset_s):
        """Sleeps until `offset_s` after the start of the load."""
        time.sleep(max(0.0, self.begin + offset_s - time.monotonic()))

    def finish(self):
        """(series, report) when the last request has ended."""
        remaining = self.begin + self.duration_s + GRACE_S - time.monotonic()
        if self.process.wait(max(0.0, remaining)) != 0:
            raise BenchError(f"the load failed:\n{self.process.tail()}")
        lines = [json.loads(line) for line in self.process.text().splitlines()]
        records = [line for line in lines if "t_ms" in line]
        return records, lines[-1]
