"""End-to-end tests of processes under callers that keep no limits.

Each test sends one fixed crowd to a real process whose host has little memory
and few descriptors, and checks what does not depend on the machine's speed: the
process lives, it stayed below the limits of its host, and an ordinary job is
served afterwards. In a trial, such callers ended schedulers, which ran out of
memory.
"""

import contextlib
import pathlib
import re
import resource
import tempfile
import threading
import time
import unittest

import urllib3

from tools import crowd
from tools import deployments

# Limits of each host. A program takes 30 to 40 MB at rest, and each test's
# crowd sends more than the remaining memory, or opens more connections than
# there are descriptors.
MEMORY_MB = 96
MAX_FDS = 400
# Descriptors that a host keeps for files; sockets share the others.
FILE_FDS = 200
MAX_BODY_BYTES = 1_000_000
OVERSIZE_BODY_BYTES = 4_000_000
HUGE_BODY_BYTES = 64_000_000
MISSING_BYTES = 100
PIECE_BYTES = 16 * 1024
MEMBERS = 150
# More than all descriptors of a host.
IDLE_MEMBERS = 500
TASKS = 1024
SAMPLE_INTERVAL_S = 0.05
# An ordinary job may be refused, never more than this often in a row.
MAX_ATTEMPTS = 30
RETRY_INTERVAL_S = 0.5
MB = 1024 * 1024


class Watch:
    """Samples what a process holds while a crowd is connected.

    Attributes:
        process: The watched process.
        address: Address at which the crowd connects.
        max_unread_bytes: Most bytes that were received and not read.
        max_sockets: Most sockets that were open.
        max_fds: Most descriptors that were open.
    """

    def __init__(self, process, address):
        self.process = process
        self.address = address
        self.max_unread_bytes = self.max_sockets = self.max_fds = 0
        self._stopped = False
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        while not self._stopped:
            with contextlib.suppress(FileNotFoundError):
                self.sample()
            time.sleep(SAMPLE_INTERVAL_S)

    def sample(self):
        """Takes one sample."""
        unread_bytes = crowd.unread_bytes(self.address)
        self.max_unread_bytes = max(self.max_unread_bytes, unread_bytes)
        kinds = []
        for path in pathlib.Path(f"/proc/{self.process.pid}/fd").iterdir():
            with contextlib.suppress(FileNotFoundError):
                kinds.append(str(path.readlink()).partition(":")[0])
        self.max_fds = max(self.max_fds, len(kinds))
        self.max_sockets = max(self.max_sockets, kinds.count("socket"))

    def stop(self):
        """Stops sampling."""
        self._stopped = True
        self._thread.join()

    def peak_rss_bytes(self):
        """Returns the highest resident set size of the process so far."""
        status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) * 1024


class CrowdTestCase(unittest.TestCase):
    """Test case with one scheduler and one runner."""

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.deployment = deployments.make_deployment(
            pathlib.Path(directory.name), schedulers=1, runners=1
        )
        self.deployment.limits = {"memoryMb": MEMORY_MB, "maxFds": MAX_FDS}
        self.addCleanup(self.deployment.close)
        self.deployment.start()
        self.deployment.configure(2, limits={"maxBodyBytes": MAX_BODY_BYTES})
        self.assert_serves()
        # The host enforces its limit of descriptors.
        for name in ("scheduler-0", "runner-0"):
            resource.prlimit(
                self.deployment.process(name).pid,
                resource.RLIMIT_NOFILE,
                (MAX_FDS, MAX_FDS),
            )

    def assert_serves(self, busy=False):
        """Asserts that a scheduler serves an ordinary request.

        Args:
            busy: Whether no job can be served, as all targets have work; the
                request then is one for the number of waiting jobs.
        """
        answers = []
        for _ in range(MAX_ATTEMPTS):
            key, body = deployments.new_key(), deployments.job_body(1, 0.01)
            try:
                if busy:
                    status, _ = self.deployment.call(0, "GET", "/proof/")
                else:
                    status, _ = self.deployment.submit(0, key, body)
            except urllib3.exceptions.HTTPError as error:
                status = str(error)
            if status == 200:
                return
            answers.append(status)
            time.sleep(RETRY_INTERVAL_S)
        self.fail(f"no ordinary request was served: {answers}")

    def make_crowd(self, name="scheduler-0", address=None):
        """Returns a crowd at an address of a process, and a watch of it."""
        ports = self.deployment.ports
        address = address or f"{self.deployment.scheduler_ip(0)}:{ports[0]}"
        found = crowd.Crowd(address)
        self.addCleanup(found.close)
        watch = Watch(self.deployment.process(name), address)
        self.addCleanup(watch.stop)
        return found, watch

    def check(self, callers, watch, busy=False):
        """Asserts the bounds, and service during the crowd and after it.

        Args:
            callers: The crowd.
            watch: Watch of the process.
            busy: Whether the crowd's jobs use all targets.
        """
        watch.sample()
        peak_mb = watch.peak_rss_bytes() / MB
        unread_mb = watch.max_unread_bytes / MB
        statuses = callers.statuses()
        print(
            f"{self.id().rpartition('.')[2]}: peak {peak_mb:.0f} MB, unread "
            f"{unread_mb:.1f} MB, {watch.max_fds} descriptors, "
            f"{watch.max_sockets} sockets, statuses {statuses}, "
            f"{callers.refused} not connected"
        )
        with self.subTest("the process lives"):
            self.assertTrue(watch.process.running())
        with self.subTest("memory"):
            self.assertLess(peak_mb + unread_mb, MEMORY_MB)
        with self.subTest("descriptors"):
            self.assertLess(watch.max_fds, MAX_FDS)
            self.assertLess(watch.max_sockets, MAX_FDS - FILE_FDS)
        with self.subTest("served while the crowd stays"):
            self.assert_serves(busy)
        callers.close()
        with self.subTest("served after the crowd"):
            self.assert_serves()
        with self.subTest("memory until the end"):
            peak_mb = watch.peak_rss_bytes() / MB
            self.assertLess(peak_mb, MEMORY_MB)

    def join(self, callers, count, make_head, *parts):
        """Lets callers join, each of which submits a job of its own.

        Args:
            callers: The crowd.
            count: Number of callers.
            make_head: Makes the head of each request from method, path, host.
            *parts: What follows the head.
        """
        for _ in range(count):
            path = f"/proof/{deployments.new_key()}"
            head = make_head("POST", path, deployments.HOST_NAME)
            callers.join(1, head, *parts)

    def join_announced(self, callers, count, size, *parts):
        """Lets callers join that announce bodies of a size."""

        def make_head(method, path, host):
            return crowd.announced(method, path, host, size)

        self.join(callers, count, make_head, *parts)


class BodyTest(CrowdTestCase):
    def legal_body(self):
        """Returns a small job in a body of the largest legal size."""
        return crowd.padded(deployments.job_body(1, 0.01), MAX_BODY_BYTES)

    def test_oversize_bodies_announced(self):
        """Bodies above the limit were read before they were refused."""
        callers, watch = self.make_crowd()
        for size in (OVERSIZE_BODY_BYTES, HUGE_BODY_BYTES):
            body = bytes(OVERSIZE_BODY_BYTES - 1)
            self.join_announced(callers, MEMBERS // 2, size, body)
        callers.send()
        self.check(callers, watch)

    def test_oversize_bodies_just_sent(self):
        """Chunked bodies above the limit were kept up to another limit."""
        callers, watch = self.make_crowd()
        body = crowd.chunks(bytes(OVERSIZE_BODY_BYTES), PIECE_BYTES, last=False)
        self.join(callers, MEMBERS, crowd.chunked, body)
        callers.send()
        self.check(callers, watch)

    def test_large_bodies_sent_whole(self):
        """Each body was legal, all together were above the memory."""
        callers, watch = self.make_crowd()
        body = self.legal_body()
        self.join_announced(callers, MEMBERS, len(body), body)
        callers.send()
        self.check(callers, watch)

    def test_large_bodies_sent_in_pieces(self):
        """All bodies grew at the same time, so none was complete."""
        callers, watch = self.make_crowd()
        body = self.legal_body()
        self.join_announced(callers, MEMBERS, len(body), body)
        callers.send(PIECE_BYTES)
        self.check(callers, watch)

    def test_large_bodies_that_stop_short(self):
        """Incomplete bodies stayed in memory although nothing more came."""
        callers, watch = self.make_crowd()
        body = self.legal_body()
        sent = body[:-MISSING_BYTES]
        self.join_announced(callers, MEMBERS, len(body), sent)
        callers.send()
        self.check(callers, watch)

    def test_chunked_bodies_that_stop_short(self):
        """No length announced how large these bodies would be."""
        callers, watch = self.make_crowd()
        body = crowd.chunks(self.legal_body(), PIECE_BYTES, last=False)
        self.join(callers, MEMBERS, crowd.chunked, body)
        callers.send()
        self.check(callers, watch)


class DecodedFormTest(CrowdTestCase):
    def test_bodies_with_many_values(self):
        """The decoded form was many times as large as the body."""
        callers, watch = self.make_crowd()
        for value in (b'{"":{}}', b"[]", b'"\xc4\x81"', b"1e9"):
            count = (MAX_BODY_BYTES - 100) // (len(value) + 1)
            values = b",".join([value] * count)
            body = (
                b'{"spec":"a","bestEffort":true,"steps":[{"count":1,'
                b'"cpu":1,"other":[' + values + b"]}]}"
            )
            self.assertLess(len(body), MAX_BODY_BYTES)
            self.join_announced(callers, MEMBERS // 6, len(body), body)
        nested = b'{"spec":' + b"[" * (MAX_BODY_BYTES - 100)
        self.join_announced(callers, MEMBERS // 6, len(nested), nested)
        steps = b",".join([b'{"count":1}'] * (MAX_BODY_BYTES // 12 - 10))
        body = b'{"spec":"a","bestEffort":true,"steps":[' + steps + b"]}"
        self.join_announced(callers, MEMBERS // 6, len(body), body)
        callers.send()
        self.check(callers, watch)

    def test_jobs_with_many_tasks(self):
        """A body of 150 bytes made a job of 1,024 tasks that stayed."""
        callers, watch = self.make_crowd()
        body = crowd.padded(deployments.job_body(TASKS, 600.0, 4000), 0)
        self.join_announced(callers, MEMBERS, len(body), body)
        callers.send()
        # The jobs are decoded after the last byte was sent.
        time.sleep(5.0)
        # These jobs use all cores, so that other jobs are rightly rejected.
        self.check(callers, watch, busy=True)

    def test_enormous_counts(self):
        """Such a count would make more tasks than there is memory for."""
        callers, watch = self.make_crowd()
        for count in (10**6, 10**15, 2**60, 10**4000):
            job = f'{{"spec":"a","bestEffort":true,"steps":[{{"count":{count}'
            body = (job + "}]}").encode()
            self.join_announced(callers, MEMBERS // 4, len(body), body)
        callers.send()
        self.check(callers, watch)


class ConnectionTest(CrowdTestCase):
    def test_idle_connections(self):
        """They used up the descriptors, and nobody else could connect."""
        callers, watch = self.make_crowd()
        callers.join(IDLE_MEMBERS)
        time.sleep(1.0)
        self.check(callers, watch)

    def test_half_sent_heads(self):
        """As idle connections, but none of them is idle."""
        callers, watch = self.make_crowd()
        head = crowd.announced("POST", "/proof/x", deployments.HOST_NAME, 100)
        callers.join(IDLE_MEMBERS, head[:-2])
        callers.send()
        time.sleep(1.0)
        self.check(callers, watch)

    def test_responses_that_are_never_read(self):
        """Each connection sends requests until it can send no more."""
        callers, watch = self.make_crowd()
        head = crowd.head("GET", "/proof/", deployments.HOST_NAME)
        callers.join(MEMBERS, head * 20_000)
        callers.send()
        self.check(callers, watch)


class OtherServerTest(CrowdTestCase):
    def test_reports_of_a_runner(self):
        """A runner's server had no limit on all bodies together."""
        address = self.deployment.reports_address(0)
        callers, watch = self.make_crowd("runner-0", address)
        size = OVERSIZE_BODY_BYTES
        head = crowd.announced("POST", "/Instances.Heartbeat/i", "a", size)
        callers.join(MEMBERS, head, bytes(size - MISSING_BYTES))
        callers.send()
        self.check(callers, watch)

    def test_readiness_address(self):
        """The readiness server read bodies that nobody looks at."""
        ip, ports = self.deployment.scheduler_ip(0), self.deployment.ports
        callers, watch = self.make_crowd(address=f"{ip}:{ports[1]}")
        size = OVERSIZE_BODY_BYTES
        head = crowd.announced("GET", "/ready", "a", size)
        callers.join(MEMBERS, head, bytes(size - MISSING_BYTES))
        callers.send()
        self.check(callers, watch)


if __name__ == "__main__":
    unittest.main()
