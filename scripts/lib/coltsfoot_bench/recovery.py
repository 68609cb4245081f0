"""Recovery time from a series of goodput."""

THRESHOLD = 0.95
STEADY_MS = 1000


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
