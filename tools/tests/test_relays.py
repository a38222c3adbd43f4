"""Tests of the relays, and of the programs whose connections they carry."""

import contextlib
import http.client
import json
import pathlib
import socket
import subprocess
import sys
import tempfile
import threading
import time
import types
import unittest

from tools import deployments
from tools import processes

# A program that prints the first byte of a connection to its first argument,
# and the difference between its wall clock and its second argument.
PROGRAM = """
import socket, sys, time
host, _, port = sys.argv[1].partition(":")
with socket.create_connection((host, int(port))) as sock:
    print(sock.recv(1).decode(), round(time.time() - float(sys.argv[2])))
"""


def make_deployment(test, **sizes):
    """Returns a deployment in a directory that the test removes."""
    directory = tempfile.TemporaryDirectory()
    test.addCleanup(directory.cleanup)
    deployment = deployments.make_deployment(
        pathlib.Path(directory.name), **sizes
    )
    test.addCleanup(deployment.close)
    return deployment


class ModeTest(unittest.TestCase):
    def setUp(self):
        self.deployment = make_deployment(self, runners=1, relayed=True)
        self.deployment.start_target(0)
        self.deployment.start_relays()
        self.links = [self.deployment.relays.target_link(0)]

    def test_relay_cuts_and_opens_again(self):
        """A cut that leaves connections open would show nothing."""
        errors = {
            "open": types.NoneType,
            "silent": TimeoutError,
            "reset": ConnectionResetError,
            "refuse": ConnectionRefusedError,
        }
        for how in ("open", "silent", "reset", "refuse", "open"):
            with self.subTest(how=how):
                self.deployment.relays.cut_target(0, how)
                error = self.call()
                # eventlet may take a reset for an orderly end, which is a
                # subclass.
                self.assertIsInstance(error, errors[how])

    def test_call_is_carried_out_only_if_its_way_out_is_open(self):
        """Lost requests and lost answers are different faults."""
        for how, carried_out in (("silent-in", True), ("silent-out", False)):
            with self.subTest(how=how):
                before = self.deployment.runs()
                cut = self.deployment.relays.cut(self.links, how)
                error = self.call("/run-start", self.start(how))
                self.assertIsInstance(error, TimeoutError)
                time.sleep(0.2)
                self.deployment.relays.mend(cut)
                new = len(self.deployment.runs()) - len(before)
                self.assertEqual(carried_out, bool(new))

    def test_stalled_call_is_carried_out_afterwards(self):
        """TCP delivers what was sent during a short cut."""
        for how in ("stall", "stall-out", "stall-in"):
            with self.subTest(how=how):
                cut = self.deployment.relays.cut(self.links, how)
                timer = threading.Timer(
                    0.5, self.deployment.relays.mend, (cut,)
                )
                timer.start()
                self.addCleanup(timer.join)
                sent_s = time.monotonic()
                self.assertIsNone(self.call(timeout_s=5.0))
                self.assertGreater(time.monotonic() - sent_s, 0.45)

    def test_delay_applies_to_each_direction(self):
        """The time of a call shows twice the delay."""
        self.deployment.relays.cut(self.links, "open", delay_s=0.25)
        sent_s = time.monotonic()
        self.assertIsNone(self.call(timeout_s=5.0))
        self.assertGreaterEqual(time.monotonic() - sent_s, 0.5)

    def test_relay_stays_cut_until_the_last_of_several_cuts_ends(self):
        """Overlapping faults must not end each other."""
        first = self.deployment.relays.cut(self.links, "refuse")
        second = self.deployment.relays.cut(self.links, "silent")
        self.assertIsInstance(self.call(), TimeoutError)
        self.deployment.relays.mend(second)
        self.assertIsInstance(self.call(), ConnectionRefusedError)
        self.deployment.relays.mend(first)
        self.assertIsNone(self.call())

    def test_abandoned_connection_stays_silent(self):
        """A peer that lost its power closes no connection, also later."""
        connection = self.connect()
        self.assertIsNone(self.call(connection=connection))
        cut = self.deployment.relays.cut(self.links, "silent")
        self.deployment.process("target-0").kill()
        self.deployment.start_target(0)
        self.deployment.relays.mend(cut, abandon=True)
        self.assertIsInstance(self.call(connection=connection), TimeoutError)
        self.assertIsNone(self.call())

    def test_relay_follows_a_host_that_has_moved(self):
        """A moved host is reached at its new address only."""
        deployment = make_deployment(
            self, runners=1, schedulers=1, linked=True, store="127.0.0.1:1"
        )
        deployment.start_target(0)
        deployment.start_relays()
        before = deployment.app_address(0)
        deployment.process("target-0").kill()
        deployment.process("target-0").wait(5.0)
        deployment.move_runner(0)
        self.assertNotEqual(before, deployment.app_address(0))
        deployment.start_target(0)
        self.links = [deployment.relays.target_link(0)]
        self.assertIsNone(self.call())

    def connect(self, timeout_s=0.3):
        """Returns a connection through the relay."""
        connection = http.client.HTTPConnection(
            self.links[0], timeout=timeout_s
        )
        self.addCleanup(connection.close)
        return connection

    def start(self, task):
        """Returns the body of a call that starts a run."""
        return {
            "task": task,
            "run": 1,
            "spec": json.dumps({"run_s": 0.1, "cpu": 1000}),
            "deadlineMs": 10**12,
        }

    def call(
        self,
        path="/control/runs",
        body=None,
        timeout_s=0.3,
        connection=None,
    ):
        """Returns the error of a call through the relay, or None."""
        connection = connection or self.connect(timeout_s)
        try:
            method = "GET" if body is None else "POST"
            connection.request(method, path, json.dumps(body or {}).encode())
            connection.getresponse().read()
        except OSError as error:
            return error
        return None


class RelayedProgramTest(unittest.TestCase):
    def test_connections_lead_to_relays_and_the_clock_is_shifted(self):
        """A connection past its relay would be spared by all faults."""
        with contextlib.ExitStack() as stack:
            listeners = [
                stack.enter_context(socket.create_server(("127.0.0.1", 0)))
                for _ in range(2)
            ]
            addresses = [f"127.0.0.1:{x.getsockname()[1]}" for x in listeners]
            for listener, answer in zip(listeners, b"dr", strict=True):
                thread = threading.Thread(
                    target=answer_once, args=(listener, bytes([answer]))
                )
                thread.start()
                stack.callback(thread.join)
                stack.callback(listener.shutdown, socket.SHUT_RDWR)
            text = stack.enter_context(tempfile.TemporaryDirectory())
            directory = pathlib.Path(text)
            (directory / "relayed_by_test.py").write_text(PROGRAM)
            (directory / "clock").write_text("-240")
            for relays, expected in (
                ({addresses[0]: addresses[1]}, "r -240"),
                ({}, "d -240"),
            ):
                path = directory / "relays"
                path.write_text(json.dumps(relays))
                output = run_relayed(
                    directory,
                    "--clock",
                    str(directory / "clock"),
                    "relayed_by_test",
                    addresses[0],
                    str(time.time()),
                )
                self.assertEqual(expected, output.strip())


class LinkedDeploymentTest(unittest.TestCase):
    """The real programs, with relays between all hosts."""

    def setUp(self):
        self.deployment = make_deployment(
            self, schedulers=1, runners=1, linked=True
        )
        self.deployment.start()

    def wait_for_metric(self, name, value):
        """Waits until a metric of the scheduler has a value."""
        deadline_s = time.monotonic() + 10.0
        line = f"{name} {value}"
        while time.monotonic() < deadline_s:
            text = self.deployment.metrics(self.deployment.scheduler_ip(0))
            if any(x.endswith(line) for x in text.splitlines()):
                return
            time.sleep(0.1)
        self.fail(f"no {line} in:\n{text}")

    def test_store_is_cut_from_its_scheduler(self):
        """Faults of the store must reach the scheduler."""
        self.wait_for_metric("store_reached", 1.0)
        cut = self.deployment.relays.cut(
            [self.deployment.relays.store_link(0)], "refuse"
        )
        self.wait_for_metric("store_reached", 0.0)
        self.deployment.relays.mend(cut)
        self.wait_for_metric("store_reached", 1.0)

    def test_runner_is_cut_from_its_scheduler(self):
        """No job runs without the stream, and jobs run once it is back."""
        cut = self.deployment.relays.cut(
            self.deployment.relays.runner_links(0), "refuse"
        )
        body = deployments.job_body(1, 0.05)
        with self.assertRaises(TimeoutError):
            self.deployment.wait_serving(3.0)
        self.deployment.relays.mend(cut)
        self.deployment.wait_serving()
        key = deployments.new_key()
        self.assertEqual(200, self.deployment.submit(0, key, body)[0])

    def test_clock_of_a_scheduler_is_shifted(self):
        """Its run numbers show its wall clock."""
        self.deployment.clock_path("scheduler-0").write_text("-240")
        time.sleep(0.1)
        key = deployments.new_key()
        now_ms = time.time() * 1000
        self.deployment.submit(0, key, deployments.job_body(1, 0.05))
        (run,) = (
            x for x in self.deployment.runs() if x["task"].startswith(key)
        )
        self.assertAlmostEqual(-240.0, (run["run"] - now_ms) / 1000, delta=5.0)


def answer_once(listener, data):
    """Accepts a connection and sends data."""
    with contextlib.suppress(OSError):
        sock, _ = listener.accept()
        with sock:
            sock.sendall(data)


def run_relayed(directory, *arguments):
    """Returns the output of a program whose connections are redirected."""
    return subprocess.run(
        [
            sys.executable,
            "-W",
            "ignore",
            "-m",
            "tools.standins.relayed_program",
            "--relays",
            str(directory / "relays"),
            *arguments,
        ],
        cwd=processes.ROOT,
        env={"PYTHONPATH": str(directory), "EVENTLET_NO_GREENDNS": "yes"},
        capture_output=True,
        check=True,
        text=True,
        timeout=20.0,
    ).stdout


if __name__ == "__main__":
    unittest.main()
