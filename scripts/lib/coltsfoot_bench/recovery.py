"""Recovery time from a series of goodput."""

import math
import random

THRESHOLD = 0.95
STEADY_MS = 1000
# Undisturbed streams: the part that gives the normal goodput, and the whole.
NOISE_NORMAL_MS = 4000
NOISE_STREAM_MS = 35000


def mean_completed(records, begin_ms, end_ms):
    """Mean of completed requests a record between two times."""
    counts = [record["completed"] for record in records if begin_ms <= record["t_ms"] < end_ms]
    return sum(counts) / len(counts) if counts else 0.0


def each_window(records, begin_ms, end_ms, normal, interval_ms):
    """Milliseconds until each record of 1 s has at least 95 % of `normal`; None if never."""
    return _recovery(records, begin_ms, end_ms, interval_ms, lambda counts: min(counts) >= THRESHOLD * normal)


def mean_of_second(records, begin_ms, end_ms, normal, interval_ms):
    """As `each_window`, by the mean over 1 s: less subject to the arrivals' own noise."""
    return _recovery(
        records, begin_ms, end_ms, interval_ms, lambda counts: sum(counts) / len(counts) >= THRESHOLD * normal
    )


def _recovery(records, begin_ms, end_ms, interval_ms, is_steady):
    needed = STEADY_MS // interval_ms
    later = [record for record in records if begin_ms <= record["t_ms"] < end_ms]
    for start in range(len(later) - needed + 1):
        if is_steady([record["completed"] for record in later[start : start + needed]]):
            return later[start]["t_ms"] - begin_ms
    return None


def noise(rate, interval_ms, streams, seed):
    """What both measures give for undisturbed Poisson streams: sorted lists, never as infinity."""
    rng = random.Random(seed)
    by_window, by_mean = [], []
    for _ in range(streams):
        records = _undisturbed(rate, interval_ms, rng)
        normal = mean_completed(records, 0, NOISE_NORMAL_MS)
        span = (records, NOISE_NORMAL_MS, NOISE_STREAM_MS, normal, interval_ms)
        by_window.append(each_window(*span))
        by_mean.append(mean_of_second(*span))
    return tuple(sorted(math.inf if ms is None else ms for ms in values) for values in (by_window, by_mean))


def _undisturbed(rate, interval_ms, rng):
    records = [{"t_ms": t_ms, "completed": 0} for t_ms in range(0, NOISE_STREAM_MS, interval_ms)]
    time_ms = rng.expovariate(rate / 1000)
    while time_ms < NOISE_STREAM_MS:
        records[int(time_ms // interval_ms)]["completed"] += 1
        time_ms += rng.expovariate(rate / 1000)
    return records
