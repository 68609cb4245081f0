"""Runs of non-repeatable operations over all upstreams, against what the clients were told."""

from collections import Counter


class RunCheck:
    """Counts over the run logs of all upstreams and the key log of the load."""

    def __init__(self, folder, key_log):
        runs = Counter()
        for path in folder.glob("*.runs"):
            service = path.name.split(".", 1)[0]
            for line in path.read_text().splitlines():
                runs[f"{service}/{line}"] += 1
        # A nested run's key is its parent's with a dot and numbers.
        roots = {name.split(" ", 1)[1].split(".", 1)[0] for name in runs}
        self.runs = sum(runs.values())
        self.double_runs = sum(1 for count in runs.values() if count > 1)
        self.false_not_run = 0
        self.false_completed = 0
        for line in key_log.read_text().splitlines():
            operation, key, outcome = line.split(" ")
            if outcome == "not-run" and key in roots:
                self.false_not_run += 1
            if outcome == "completed" and runs[f"{operation} {key}"] == 0:
                self.false_completed += 1
