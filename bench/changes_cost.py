#!/usr/bin/env python3
"""Measures the cost of configuration changes for a proxy: its memory and CPU time after few and after many changes.

Starts one control node and one proxy on loopback, with one simple host, sends configurations one after the other (each
changes a route's timeout and a service's name) with requests between them, and prints the proxy's figures from /proc.

    bench/changes_cost.py target/myrtlerouted --changes 10000
"""
import argparse
import http.client
import http.server
import json
import os
import pathlib
import subprocess
import tempfile
import threading
import time

FRONT, READY, CONTROL, INTERNAL, HOST = 28360, 28365, 28367, 27500, 28080
ADDRESS = "127.77.0.1"
SETTINGS = f"""nodeName=edge-1
ip={ADDRESS}
zone=north
listen.front={ADDRESS}:{FRONT}
listen.ready={ADDRESS}:{READY}
listen.control={ADDRESS}:{CONTROL}
internalPorts={INTERNAL},{INTERNAL + 15}
seeds={ADDRESS}:{CONTROL}
bootstrap=true
countsForQuorum=true
limits.memoryMb=160
limits.maxFds=1024
limits.linkMbps=1000
faultTolerance.machines=0
heartbeatMs=1200
"""


class Host(http.server.BaseHTTPRequestHandler):
    """Host of the service that answers every request at once."""

    protocol_version = "HTTP/1.1"

    def do_POST(self):
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        self.send_response(200)
        self.send_header("X-Request-Id", self.headers.get("X-Request-Id", ""))
        self.send_header("X-Server-Signature", "toy")
        self.send_header("Content-Length", "2")
        self.end_headers()
        self.wfile.write(b"ok")

    def log_message(self, *_):
        pass


def configuration(version: int) -> str:
    """A configuration of 20 routes, the first of which gets another timeout and another service with each version."""
    routes = [{"hostname": "h.example", "pathPrefix": f"/r{n}/", "kind": "idempotent", "maxAttempts": 2,
               "timeoutMs": 5000 + (version if n == 0 else n), "service": f"s{version}" if n == 0 else "s"}
              for n in range(20)]
    return json.dumps({"version": version, "routes": routes, "services": [{"name": "s"}, {"name": f"s{version}"}]})


def call(port: int, method: str, path: str, body: str, headers: dict) -> int:
    connection = http.client.HTTPConnection(ADDRESS, port, timeout=5)
    connection.request(method, path, body, headers)
    status = connection.getresponse().status
    connection.close()
    return status


def send_heartbeat(sequence: int) -> None:
    body = json.dumps({"service": "s", "address": f"{ADDRESS}:{HOST}", "zone": "north", "capacity": 64,
                       "state": "ready", "sequence": sequence})
    call(CONTROL, "PUT", "/instances/i-1", body, {"Content-Type": "application/json"})


def send_heartbeats() -> None:
    sequence = 1
    while True:
        try:
            send_heartbeat(sequence)
        except OSError:
            pass
        sequence += 1
        time.sleep(1)


def memory_and_cpu(process: subprocess.Popen) -> tuple[float, float]:
    """Resident memory in MB and CPU time in seconds of a process."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    resident = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    stat = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rsplit(")", 1)[1].split()
    return int(resident.split()[1]) / 1024, (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")


def main() -> None:
    arguments = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    arguments.add_argument("program")
    arguments.add_argument("--changes", type=int, default=10000)
    options = arguments.parse_args()
    folder = tempfile.mkdtemp()
    processes = []
    for role in ("control", "proxy"):
        settings = pathlib.Path(folder, f"{role}.conf")
        data = pathlib.Path(folder, role)
        data.mkdir()
        settings.write_text(SETTINGS + f"role={role}\ndataDir={data}\n")
        log = open(pathlib.Path(folder, f"{role}.log"), "w", encoding="utf-8")
        processes.append(subprocess.Popen([options.program, role], env={"MYRTLEROUTE_SETTINGS": str(settings)},
                                          stdout=log, stderr=log))
    proxy = processes[1]
    try:
        server = http.server.ThreadingHTTPServer((ADDRESS, HOST), Host)
        threading.Thread(target=server.serve_forever, daemon=True).start()
        threading.Thread(target=send_heartbeats, daemon=True).start()
        time.sleep(3)
        served, last = 0, memory_and_cpu(proxy)[1]
        report_versions = {10, options.changes // 10, options.changes // 2, options.changes}
        last_version = 0
        for version in range(1, options.changes + 1):
            status = call(CONTROL, "PUT", "/config", configuration(version),
                          {"If-Match": str(version - 1), "Content-Type": "application/json"})
            assert status == 200, f"change {version}: {status}"
            served += call(FRONT, "POST", f"/r{1 + version % 19}/x", "{}",
                           {"Host": "h.example", "X-Request-Id": f"r{version}", "X-Deadline-Ms": "3000"}) == 200
            if version in report_versions:
                memory, spent = memory_and_cpu(proxy)
                each = (spent - last) / (version - last_version) * 1e3
                print(f"after {version} changes: {memory:.1f} MB, {each:.3f} ms of processor time a change and request "
                      f"since the last line, {served} requests served")
                last, last_version = spent, version
    finally:
        for process in processes:
            process.terminate()
        for process in processes:
            process.wait()


if __name__ == "__main__":
    main()
