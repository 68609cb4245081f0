"""What a node process uses, read from /proc."""

from dataclasses import dataclass
from pathlib import Path


@dataclass(frozen=True)
class NodeUsage:
    """Sums over the threads of one process."""

    processor_s: float
    # Times that a thread gave up the processor to wait.
    waits: int
    resident_bytes: int

    @staticmethod
    def of(pid):
        """What the process with this number has used so far."""
        tasks = list(Path(f"/proc/{pid}/task").iterdir())
        processor_ns = sum(int((task / "schedstat").read_text().split()[0]) for task in tasks)
        waits = sum(status_number(task, "voluntary_ctxt_switches") for task in tasks)
        resident_kb = status_number(Path(f"/proc/{pid}"), "VmRSS")
        return NodeUsage(processor_ns / 1e9, waits, resident_kb * 1024)


def status_number(folder, name):
    """The number of one line of a `status` file."""
    return number_of((folder / "status").read_text(), name)


def number_of(text, name):
    """The number after `name:`; 0 without such a line."""
    for line in text.splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    return 0
