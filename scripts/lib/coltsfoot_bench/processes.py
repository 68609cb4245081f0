"""Processes: started with their output in files, found by their output, always ended."""

import os
import re
import signal
import subprocess
import tempfile
import time
from pathlib import Path

from .errors import BenchError

POLL_S = 0.02
LISTEN_TIMEOUT_S = 20
STOP_TIMEOUT_S = 30
KILL_TIMEOUT_S = 5
SHOWN_OUTPUT_CHARS = 2000


class Process:
    """One started process."""

    def __init__(self, name, command, folder):
        self.name = name
        self.output = folder / f"{name}.log"
        with open(self.output, "ab") as output:
            self.popen = subprocess.Popen(
                [str(word) for word in command],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                # A Ctrl-C at the terminal reaches only the script, which then stops everything in order.
                start_new_session=True,
            )

    def text(self):
        """Its output up to now."""
        return self.output.read_text(errors="replace")

    def wait_for_fields(self, timeout_s=LISTEN_TIMEOUT_S):
        """The fields of its line `event=listening ...` as a dict."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            for line in self.text().splitlines():
                if "event=listening" in line:
                    return dict(re.findall(r"(\w+)=(\S+)", line))
            if self.popen.poll() is not None:
                raise BenchError(f"{self.name} ended with status {self.popen.returncode}:\n{self.tail()}")
            time.sleep(POLL_S)
        raise BenchError(f"{self.name} did not listen within {timeout_s} s:\n{self.tail()}")

    def tail(self):
        """The end of its output."""
        return self.text()[-SHOWN_OUTPUT_CHARS:]

    def is_running(self):
        return self.popen.poll() is None

    def terminate(self):
        """Asks it to stop."""
        if self.is_running():
            self.popen.send_signal(signal.SIGTERM)

    def kill(self):
        """Ends it at once, as a failed host does."""
        if self.is_running():
            self.popen.kill()
        self.popen.wait(KILL_TIMEOUT_S)

    def wait(self, timeout_s=STOP_TIMEOUT_S):
        """Its exit status, or None where it had to be killed."""
        try:
            return self.popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def cpu_s(self):
        """Processor time used, seconds; 0 once it has ended."""
        try:
            fields = Path(f"/proc/{self.popen.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except OSError:
            return 0.0
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ProcessGroup:
    """All processes of a run; leaving the `with` block ends every one of them."""

    def __init__(self):
        self._folder = tempfile.TemporaryDirectory(prefix="coltsfoot-")
        self.folder = Path(self._folder.name)
        self.processes = []

    def __enter__(self):
        return self

    def __exit__(self, kind, *_):
        try:
            if kind is not None and issubclass(kind, BenchError):
                self._show_failed()
            self.kill_all()
        finally:
            self._folder.cleanup()

    def start(self, name, command):
        """Starts `command`; its output goes to a file called after `name`."""
        process = Process(name, command, self.folder)
        self.processes.append(process)
        return process

    def _show_failed(self):
        """Prints the last output of processes that ended on their own, which explains most failures."""
        for process in self.processes:
            if not process.is_running() and process.popen.returncode != 0:
                print(f"{process.name} ended with {process.popen.returncode}:\n{process.tail()}", flush=True)

    def kill_all(self):
        """Ends what still runs: first by asking, then at once."""
        running = [process for process in self.processes if process.is_running()]
        for process in running:
            process.terminate()
        end = time.monotonic() + KILL_TIMEOUT_S
        for process in running:
            process.wait(max(0.0, end - time.monotonic()))


class TimeBound:
    """Bounds a whole script, and turns SIGTERM into an ordinary exit so that processes are ended."""

    def __init__(self, seconds):
        self.seconds = seconds

    def __enter__(self):
        signal.signal(signal.SIGALRM, self._expire)
        signal.signal(signal.SIGTERM, self._leave)
        signal.alarm(int(self.seconds))
        return self

    def __exit__(self, *_):
        signal.alarm(0)

    def _expire(self, *_):
        raise BenchError(f"not done within {self.seconds} s")

    def _leave(self, *_):
        raise SystemExit(143)
