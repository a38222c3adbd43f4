"""Tests for decoding callers' requests."""

import io
import json
import unittest

from trefoilgw.platform import callers
from trefoilgw.platform import configurations
from trefoilgw.platform.tests import test_decoding
from trefoilgw.work import requests


def parse_submission(**headers):
    """Decodes a POST request that submits a job."""
    configuration = configurations.decode(
        json.dumps(test_decoding.CONFIGURATION).encode()
    )
    step = {"count": 1, "cpu": 1000, "estimateMs": 400}
    body = {"spec": "x", "steps": [step], "bestEffort": True}
    data = json.dumps(body).encode()
    environ = {
        "HTTP_HOST": "nony24.example",
        "PATH_INFO": f"/lohu930/{test_decoding.KEY}",
        "REQUEST_METHOD": "POST",
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": io.BytesIO(data),
        **headers,
    }
    return callers.parse_request(environ, configuration)


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
