"""Slopes that need real node processes."""

import time
from dataclasses import replace

from . import metrics
from .cluster import Cluster, Host
from .deployments import ANGA
from .load import Load
from .node_usage import NodeUsage
from .processes import ProcessGroup

# With an upstream each and the table service: under 100 processes.
IDLE_NODES = (4, 12, 24, 48)
CALL_FACTORS = (1, 2, 4, 8)
CALL_NODES = 12
# Watched services count as not in use after 30 s without a call.
SETTLE_S = 35
IDLE_S = 20
LOAD_S = 12
SEED = 1
# Operations without claims, so that the store plays no part.
RATES = {"licences/status": 15, "medicals/lookup": 15, "logbook/lookup": 30}


def sized_cluster(group, nodes):
    """Anga's deployment with as many nodes, spread over its services."""
    cluster = Cluster(group, replace(ANGA, warm_up=("logbook/lookup",)), seed=SEED)
    services, domains = ANGA.services, ANGA.domains
    cluster.hosts = [
        Host(services[index % len(services)], index // len(services), domains[index % len(domains)])
        for index in range(nodes)
    ]
    return cluster


def usages(cluster):
    return [NodeUsage.of(host.node.popen.pid) for host in cluster.hosts]


def mean_change(before, after, field, seconds):
    """Mean rise a node and second."""
    rises = [getattr(end, field) - getattr(start, field) for start, end in zip(before, after)]
    return sum(rises) / len(rises) / seconds


def gossip_bytes(cluster):
    """Bytes of gossip sent by all nodes; None where the nodes don't count them."""
    samples = metrics.samples(cluster.node_metrics(), "coltsfoot_control_bytes_total")
    sent = [value for labels, value in samples if labels["kind"] == "gossip" and labels["direction"] == "sent"]
    return sum(sent) or None


def idle():
    """What an idle node uses, by the number of nodes."""
    rows = {"processor": [], "waits": [], "resident": [], "bytes": []}
    for nodes in IDLE_NODES:
        with ProcessGroup() as group:
            cluster = sized_cluster(group, nodes)
            cluster.start()
            time.sleep(SETTLE_S)
            sent, before, begin = gossip_bytes(cluster), usages(cluster), time.monotonic()
            time.sleep(IDLE_S)
            seconds, after, sent_after = time.monotonic() - begin, usages(cluster), gossip_bytes(cluster)
            cluster.stop()
        rows["processor"].append((nodes, mean_change(before, after, "processor_s", seconds) * 1e6))
        rows["waits"].append((nodes, mean_change(before, after, "waits", seconds)))
        rows["resident"].append((nodes, sum(usage.resident_bytes for usage in after) / nodes))
        if sent is not None:
            rows["bytes"].append((nodes, (sent_after - sent) / nodes / seconds))
    yield "node-idle-processor", "nodes", "processor us/s and idle node", rows["processor"]
    yield "node-idle-waits", "nodes", "waits of threads/s and idle node", rows["waits"]
    yield "node-idle-resident", "nodes", "resident bytes of a node", rows["resident"]
    if rows["bytes"]:
        yield "node-idle-bytes", "nodes", "gossip bytes sent/s and idle node", rows["bytes"]


def calls():
    """What all nodes use together, by the calls that their upstreams run."""
    processor, resident = [], []
    with ProcessGroup() as group:
        cluster = sized_cluster(group, CALL_NODES)
        cluster.service_time_ms = 5.0
        cluster.start()
        for factor in CALL_FACTORS:
            runs, before, begin = total_runs(cluster), usages(cluster), time.monotonic()
            rates = {operation: rate * factor for operation, rate in RATES.items()}
            Load(cluster, rates, LOAD_S, SEED + factor, 1000).finish()
            seconds, after = time.monotonic() - begin, usages(cluster)
            runs_per_s = (total_runs(cluster) - runs) / seconds
            used = mean_change(before, after, "processor_s", seconds) * CALL_NODES
            processor.append((runs_per_s, used * 1e6))
            resident.append((runs_per_s, sum(usage.resident_bytes for usage in after) / CALL_NODES))
        cluster.stop()
    yield "node-call-processor", "calls run/s by all upstreams", "processor us/s of all nodes", processor
    yield "node-call-resident", "calls run/s by all upstreams", "resident bytes of a node", resident


def total_runs(cluster):
    return sum(count["runs"] for count in cluster.upstream_counts())


NODE_SLOPES = {"node-idle": idle, "node-call": calls}
