"""Client of the platform's key-value service.

It speaks the etcd v3 HTTP/JSON gateway. Every call returns a value that says
what is known afterwards; above all, whether a write without an answer may have
taken effect. The client never repeats a call and keeps nothing: what a lost
answer means is up to the caller.

A program that runs greenthreads patches the standard sockets first
(``eventlet.monkey_patch``); otherwise a call blocks the whole process.
"""

import json
import time
from collections.abc import Callable
from collections.abc import Sequence

import attrs
import urllib3

from trefoilgw.keyvalue import gateway
from trefoilgw.keyvalue import values

# Answers hold at most two values of 1 MB in base64, or a page of records.
ANSWER_LIMIT_BYTES = 32 * 1024 * 1024
READ_BYTES = 64 * 1024
POOL_CONNECTIONS = 4


class _AnswerError(Exception):
    """An answer that does not follow the protocol."""


@attrs.define(eq=False)
class Client:
    """Calls one service; calls may run in several greenthreads.

    Attributes:
        address: ``ip:port`` of the service.
        timeout_s: Limit for one call.
        now: Monotonic clock in seconds.
        calls: Calls made so far, watches included.
        failures: Calls that ended in `Unavailable`.
    """

    address: str
    timeout_s: float = 2.0
    now: Callable[[], float] = time.monotonic
    calls: int = 0
    failures: int = 0
    _pool: urllib3.HTTPConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._pool = urllib3.connection_from_url(
            f"http://{self.address}", maxsize=POOL_CONNECTIONS
        )

    def get(
        self, key: str
    ) -> values.KeyValue | values.Missing | values.Failure:
        """Reads one key."""
        answer = self.range(values.Read(key))
        if not isinstance(answer, values.Page):
            return answer
        return answer.items[0] if answer.items else values.Missing()

    def range(self, read: values.Read) -> values.Page | values.Failure:
        """Reads one key or all keys with a prefix."""
        body = gateway.read_fields(read)
        return self._call("/v3/kv/range", body, gateway.page, writes=False)

    def read_all(
        self, reads: Sequence[values.Read]
    ) -> tuple[values.Page, ...] | values.Failure:
        """Reads several keys or prefixes at one revision, in one call."""
        body = {
            "success": [
                {"request_range": gateway.read_fields(x)} for x in reads
            ]
        }

        def pages(answer: dict) -> tuple[values.Page, ...]:
            revision = int(answer["header"]["revision"])
            found = [x["response_range"] for x in answer["responses"]]
            return tuple(gateway.page(x, revision) for x in found)

        return self._call("/v3/kv/txn", body, pages, writes=False)

    def txn(
        self,
        compares: Sequence[values.Compare],
        operations: Sequence[values.Put | values.Delete],
    ) -> values.Committed | values.Conflict | values.Failure:
        """Carries out all operations if all comparisons hold, else none."""
        body = {
            "compare": [gateway.compare_fields(x) for x in compares],
            "success": [gateway.operation_fields(x) for x in operations],
            "failure": [
                {"request_range": gateway.read_fields(values.Read(x.key))}
                for x in compares
            ],
        }
        return self._call("/v3/kv/txn", body, gateway.txn_result, writes=True)

    def put(self, put: values.Put) -> values.Committed | values.Failure:
        """Writes one key without a comparison."""
        body = gateway.operation_fields(put)["request_put"]
        return self._call("/v3/kv/put", body, gateway.committed, writes=True)

    def grant_lease(self, ttl_s: int) -> values.Lease | values.Failure:
        """Makes a lease that lapses `ttl_s` seconds after its last renewal."""
        body = {"TTL": str(ttl_s), "ID": "0"}
        return self._call("/v3/lease/grant", body, gateway.lease, writes=True)

    def keep_alive(
        self, lease: values.Lease
    ) -> values.Lease | values.Missing | values.Failure:
        """Renews a lease; `Missing` says that it lapsed."""
        body = {"ID": str(lease.lease_id)}

        def renewed(answer: dict) -> values.Lease | values.Missing:
            result = answer["result"]
            return (
                gateway.lease(result)
                if int(result.get("TTL", 0))
                else values.Missing()
            )

        return self._call("/v3/lease/keepalive", body, renewed, writes=True)

    def revoke(
        self, lease: values.Lease
    ) -> values.Committed | values.Missing | values.Failure:
        """Ends a lease and deletes its keys."""
        body = {"ID": str(lease.lease_id)}
        result = self._call(
            "/v3/lease/revoke", body, gateway.committed, writes=True
        )
        if (
            isinstance(result, values.Rejected)
            and result.code == gateway.NOT_FOUND
        ):
            return values.Missing()
        return result

    def watch(
        self,
        prefix: str,
        on_event: Callable,
        on_lost: Callable[[str], None],
        start_revision: int = 0,
    ):
        """Starts a watch in a greenthread; see `watches.Watch`."""
        # Late: the operator's command needs no greenthreads.
        from trefoilgw.keyvalue import watches

        self.calls += 1
        watch = watches.Watch(self.address, prefix, on_event, on_lost)
        watch.start(start_revision, self.timeout_s)
        return watch

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _call(self, path: str, body: dict, convert: Callable, writes: bool):
        """Returns the converted answer to one call or why there is none."""
        self.calls += 1
        result = self._attempt(path, body, convert, writes)
        if isinstance(result, values.Unavailable):
            self.failures += 1
        return result

    def _attempt(self, path: str, body: dict, convert: Callable, writes: bool):
        """Makes one call; see `_call`."""
        try:
            status, data = self._exchange(path, json.dumps(body).encode())
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return values.Unavailable(_told(error), may_have_taken_effect=False)
        except (urllib3.exceptions.HTTPError, OSError, _AnswerError) as error:
            return values.Unavailable(
                _told(error), may_have_taken_effect=writes
            )
        try:
            answer = json.loads(data)
            if status == 200:
                return convert(answer)
            return gateway.failure(status, answer, writes)
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            text = f"unusable answer with status {status}: {error!r}"
            return values.Unavailable(text, may_have_taken_effect=writes)

    def _exchange(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Returns status and body of one HTTP exchange."""
        deadline_s = self.now() + self.timeout_s
        response = self._pool.request(
            "POST",
            path,
            body=body,
            headers={"Content-Type": "application/json"},
            timeout=urllib3.Timeout(total=self.timeout_s),
            retries=False,
            redirect=False,
            preload_content=False,
        )
        try:
            data = bytearray()
            while chunk := response.read1(READ_BYTES):
                data += chunk
                # The socket's limit alone lets a service that sends byte by
                # byte hold the call forever.
                if self.now() > deadline_s:
                    raise _AnswerError("the answer takes too long")
                if len(data) > ANSWER_LIMIT_BYTES:
                    raise _AnswerError("the answer is too large")
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return response.status, bytes(data)


def _told(error: Exception) -> str:
    """Returns an error for a person."""
    return f"{type(error).__name__}: {error}"
