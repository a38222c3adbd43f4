"""Tests for decoding callers' requests."""

import io
import json
import unittest

from trefoilgw.callers import disconnects
from trefoilgw.platform import callers
from trefoilgw.platform import configurations
from trefoilgw.platform.tests import test_decoding
from trefoilgw.scheduling import actions
from trefoilgw.work import requests


def submission_environ(**headers):
    """Returns the environment of a POST request that submits a job."""
    step = {"count": 1, "cpu": 1000, "estimateMs": 400}
    body = {"spec": "x", "steps": [step], "bestEffort": True}
    data = json.dumps(body).encode()
    return {
        "HTTP_HOST": "nony24.example",
        "PATH_INFO": f"/lohu930/{test_decoding.KEY}",
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": io.BytesIO(data),
        **headers,
    }


def parse_submission(**headers):
    """Decodes a POST request that submits a job."""
    configuration = configurations.decode(
        json.dumps(test_decoding.CONFIGURATION).encode()
    )
    return callers.parse_request(submission_environ(**headers), configuration)


class CallerWaitTest(unittest.TestCase):
    def test_milliseconds_become_seconds(self):
        """A wrong unit would distort the run times learned from the header."""
        found = parse_submission(HTTP_X_DEADLINE_MS="2237")
        self.assertIsInstance(found, requests.Submit)
        self.assertEqual(2.237, found.job.caller_wait_s)

    def test_missing_or_invalid_header_is_ignored(self):
        """A header that can't be parsed must not reject the job."""
        for text in ("", "soon", "-5", "1.5", "²", "9" * 5000):
            with self.subTest(text=text):
                found = parse_submission(HTTP_X_DEADLINE_MS=text)
                self.assertIsNone(found.job.caller_wait_s)
        self.assertIsNone(parse_submission().job.caller_wait_s)


class Memory:
    """Memory that takes jobs up to a limit."""

    def __init__(self, limit_bytes):
        self.limit_bytes = limit_bytes

    def exchange(self, size_bytes):
        return size_bytes <= self.limit_bytes


class MemoryTest(unittest.TestCase):
    def answer(self, limit_bytes, running=()):
        """Submits a job; returns status line, headers and submitted jobs."""
        configuration = configurations.decode(
            json.dumps(test_decoding.CONFIGURATION).encode()
        )
        self.submitted, self.rejected, response = [], [], []

        def submit(job, connection):
            self.submitted.append(job)
            return actions.Completed()

        self.application = callers.Application(
            lambda: configuration,
            submit,
            lambda key: key in running,
            None,
            None,
            lambda path, reason: self.rejected.append(reason),
        )
        watch = disconnects.DisconnectWatch(None)
        self.environ = submission_environ(
            **{
                "trefoilgw.memory": Memory(limit_bytes),
                "trefoilgw.disconnects": watch,
            }
        )
        self.application(self.environ, lambda *x: response.extend(x))
        return response[0], dict(response[1])

    def test_job_without_memory_is_not_taken(self):
        """The status says that it never runs."""
        status, headers = self.answer(100)
        self.assertEqual("503 Service Unavailable", status)
        self.assertEqual("1", headers["Retry-After"])
        self.assertEqual([], self.submitted)
        self.assertEqual(["memory"], self.rejected)

    def test_job_that_runs_already_gets_no_false_refusal(self):
        """A second submission may find no memory while the first one runs."""
        status, _ = self.answer(100, (test_decoding.KEY,))
        self.assertEqual("502 Bad Gateway", status)
        self.assertEqual([], self.submitted)

    def test_body_is_dropped_once_it_is_decoded(self):
        """It stayed in memory until the job had ended."""
        status, _ = self.answer(1000)
        self.assertEqual("200 OK", status)
        self.assertEqual(1, len(self.submitted))
        self.assertTrue(self.environ["wsgi.input"].closed)

    def test_path_of_a_running_job(self):
        """The server asks before it refuses a request on its own."""
        self.answer(1000, (test_decoding.KEY,))
        path = f"/lohu930/{test_decoding.KEY}"
        self.assertTrue(self.application.may_run(path))
        self.assertTrue(self.application.may_run(path + "?a=b"))
        self.assertFalse(self.application.may_run("/lohu930/0123456789abcdef"))
        self.assertFalse(self.application.may_run(""))
