#!/usr/bin/env python3
"""Runs a fleet of real processes on loopback and measures what control costs a node.

usage: tools/measure_fleet.py BINARY PROCESSES [FIRST_PORT]

Three controls, the rest entries, links with keys, no callers. Prints for each role the
processor time, bytes sent over links and resident memory of a node while nothing changes,
then how long eight small configurations take from accepted to in force on every process.
"""

import json
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

DOMAINS = ["halle-nord", "halle-sued", "keller-alt", "werft-ost"]
SETTLE, STILL, CHANGES, BETWEEN = 45, 30, 8, 3
RULES = pathlib.Path(__file__).resolve().parent.parent / "examples" / "donauwerft.yaml"


class Fleet:
    def __init__(self, binary, count, first_port, folder):
        self.binary, self.first, self.folder = binary, first_port, folder
        self.names = ["control-%d" % at for at in (1, 2, 3)]
        self.names += ["entry-%d" % at for at in range(1, count - 2)]
        self.children = []

    def call(self, *arguments):
        done = subprocess.run([self.binary, *arguments], capture_output=True, text=True)
        return done.stdout

    def ports(self, at):
        return [self.first + 3 * at + offset for offset in range(3)]

    def role(self, name):
        return name.split("-")[0]

    def settings(self, at):
        name, (callers, operators, links) = self.names[at], self.ports(at)
        keys = f"{self.folder}/keys/{name}"
        peers = "".join(
            f"  - {{id: {peer}, region: regensburg, failure_domain: {DOMAINS[other % 4]}, "
            f"roles: [{self.role(peer)}], links: 127.0.0.1:{self.ports(other)[2]}}}\n"
            for other, peer in enumerate(self.names[:6])
            if other != at
        )
        return (
            f"node: {{id: {name}, region: regensburg, failure_domain: {DOMAINS[at % 4]}}}\n"
            f"roles: [{self.role(name)}]\n"
            f"listen: {{callers: 127.0.0.1:{callers}, operators: 127.0.0.1:{operators}, "
            f"links: 127.0.0.1:{links}}}\n"
            f"data: {self.folder}/{name}\n"
            f"keys: {{authority: {keys}/authority.pem, identity: {keys}/identity.pem}}\n"
            f"timeline: {{file: {self.folder}/{name}.jsonl}}\n"
            f"traffic: {{threads: 1}}\nlog: {{level: error}}\npeers:\n{peers}"
        )

    def start(self):
        keys = ["keys", "--folder", f"{self.folder}/keys"]
        self.call(*keys, "--authority")
        self.call(*keys, *[part for name in self.names for part in ("--node", name)])
        for at, name in enumerate(self.names):
            path = f"{self.folder}/{name}.yaml"
            pathlib.Path(path).write_text(self.settings(at))
            found = ["--found"] if self.role(name) == "control" else []
            errors = open(f"{self.folder}/{name}.log", "w")
            child = subprocess.Popen([self.binary, "run", *found, path], stderr=errors)
            self.children.append(child)

    def submit(self, number):
        rules = pathlib.Path(self.folder) / "rules.yaml"
        rules.write_text(RULES.read_text() + f"\n# change {number}\n")
        node = "127.0.0.1:%d" % self.ports(3)[1]
        self.call("submit", "--node", node, "--number", str(number), "--id", f"s{number}", str(rules))

    def links(self, at):
        told = json.loads(self.call("status", "--node", "127.0.0.1:%d" % self.ports(at)[1]))
        return {peer["id"]: peer["sent_bytes"] for peer in told["links"]["peers"]}

    def processor(self, at):
        stat = pathlib.Path(f"/proc/{self.children[at].pid}/stat").read_text()
        fields = stat.rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def memory(self, at):
        text = pathlib.Path(f"/proc/{self.children[at].pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text).group(1)) / 1024

    def measure(self):
        everyone = range(len(self.names))
        before = [(self.processor(at), self.links(at)) for at in everyone]
        started = time.time()
        time.sleep(STILL)
        span = time.time() - started
        for role in ("control", "entry"):
            nodes = [at for at in everyone if self.role(self.names[at]) == role]
            share = sorted((self.processor(at) - before[at][0]) / span * 100 for at in nodes)
            sent = sorted(self.sent(at, before[at][1]) / span for at in nodes)
            memory = sorted(self.memory(at) for at in nodes)
            middle = len(nodes) // 2
            print(
                f"{len(self.names)} processes, {role}: {share[middle]:.2f} (most {share[-1]:.2f}) "
                f"% of a core, {sent[middle]:.0f} (most {sent[-1]:.0f}) B/s sent, "
                f"{memory[middle]:.1f} (most {memory[-1]:.1f}) MB"
            )

    def sent(self, at, before):
        return sum(max(0, sent - before.get(peer, 0)) for peer, sent in self.links(at).items())

    def spread(self):
        worst = []
        for number in range(2, 2 + CHANGES):
            self.submit(number)
            time.sleep(BETWEEN)
        for number in range(2, 2 + CHANGES):
            accepted, applied = [], []
            for name in self.names:
                for line in open(f"{self.folder}/{name}.jsonl"):
                    event = json.loads(line)
                    if event.get("configuration") == number:
                        micros = event["stamp"]["micros"]
                        if event["kind"] == "configuration-accepted":
                            accepted.append(micros)
                        if event["kind"] == "configuration-applied":
                            applied.append(micros)
            assert len(applied) == len(self.names), f"{number}: in force on {len(applied)}"
            worst.append((max(applied) - min(accepted)) / 1000)
        worst.sort()
        print(
            f"{len(self.names)} processes: in force on all after {worst[CHANGES // 2]:.0f} "
            f"(most {worst[-1]:.0f}) ms"
        )

    def stop(self):
        for child in self.children:
            child.kill()
        for child in self.children:
            child.wait()


def main():
    binary, count = sys.argv[1], int(sys.argv[2])
    first_port = int(sys.argv[3]) if len(sys.argv) > 3 else 20000
    with tempfile.TemporaryDirectory() as folder:
        fleet = Fleet(binary, count, first_port, folder)
        try:
            fleet.start()
            time.sleep(SETTLE // 2)
            fleet.submit(1)
            time.sleep(SETTLE // 2)
            fleet.measure()
            fleet.spread()
        finally:
            fleet.stop()


if __name__ == "__main__":
    main()
