"""Reading of the nodes' metrics."""

import re

LINE = re.compile(r"^([a-zA-Z_:][\w:]*)(?:\{(.*)\})? (\S+)")


def samples(texts, name):
    """(labels, value) of each sample of `name` over all nodes."""
    for text in texts:
        for line in text.splitlines():
            match = LINE.match(line)
            if match and match[1] == name:
                labels = dict(re.findall(r'(\w+)="([^"]*)"', match[2] or ""))
                yield labels, float(match[3])


def total(texts, name):
    """The sum over all nodes, or None where no node has it."""
    values = [value for _, value in samples(texts, name)]
    return int(sum(values)) if values else None


def greatest(texts, name):
    """The greatest value over all nodes, or None where no node has it."""
    values = [value for _, value in samples(texts, name)]
    return int(max(values)) if values else None
