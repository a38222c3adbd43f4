"""A fake entry that answers submissions without running any task."""

import collections
import itertools
import json

import attrs
import eventlet
from eventlet import wsgi

EPOCH = "3"


@attrs.define(eq=False)
class FakeEntry:
    """An HTTP server with the API of an entry and a selectable behavior.

    Attributes:
        behavior: Answer to submissions: ``complete``, ``short`` (a result is
            missing), ``wrong`` (wrong results), ``failed``, ``refused``,
            ``running_once`` or ``unreachable_once`` (the first answer for a
            key only), or ``drop`` (closes the connection without an answer).
        submissions: Keys of the submissions in order, an empty text for a
            submission without a key.
        address: Address of the server, ``ip:port``.
    """

    behavior: str = "complete"
    submissions: list = attrs.field(factory=list)
    address: str = ""
    _submissions_by_key: collections.Counter = attrs.field(
        factory=collections.Counter
    )
    _numbers: itertools.count = attrs.field(factory=itertools.count)
    _server: object = None
    _sock: object = None

    def serve(self):
        self._sock = sock = eventlet.listen(("127.0.0.1", 0))
        host, port = sock.getsockname()
        self.address = f"{host}:{port}"
        self._server = eventlet.spawn(
            wsgi.server, sock, self.application, log_output=False
        )

    def close(self):
        self._server.kill()
        self._sock.close()

    def application(self, environ, start_response):
        length = int(environ.get("CONTENT_LENGTH") or 0)
        body = environ["wsgi.input"].read(length)
        path = environ["PATH_INFO"]
        status, document = "200 OK", {}
        if path == "/v1/tickets":
            numbers = itertools.islice(self._numbers, json.loads(body)["count"])
            document = {"tickets": [f"t1.a.0.{number}" for number in numbers]}
        elif path == "/v1/epoch":
            document = {"epoch": int(EPOCH)}
        elif path == "/v1/jobs":
            key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
            self.submissions.append(key)
            if self.behavior == "drop":
                environ["eventlet.input"].get_socket().shutdown(2)
            status, document = self._submission(key, json.loads(body))
        start_response(status, [("Trefoilgw-Epoch", EPOCH)])
        # The server uses chunked transfer coding for a body in two parts.
        text = json.dumps(document).encode()
        return [text[:5], text[5:]]

    def _submission(self, key, job):
        self._submissions_by_key[key] += 1
        results = [{"value": task["value"]} for task in job["tasks"]]
        match self.behavior:
            case "short":
                results = results[:-1]
            case "wrong":
                results = [{"value": "x"}] * len(results)
            case "failed":
                return "200 OK", {"state": "failed", "reason": "deadline"}
            case "refused":
                return "503 Busy", {"reason": "overload", "not_run": True}
            case "running_once" if self._submissions_by_key[key] == 1:
                return "202 Accepted", {"state": "running", "key": key}
            case "unreachable_once" if self._submissions_by_key[key] == 1:
                document = {"reason": "home_unreachable", "not_run": False}
                return "503 Unreachable", document
        return "200 OK", {"state": "complete", "key": key, "results": results}
