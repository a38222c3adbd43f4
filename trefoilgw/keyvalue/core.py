"""Client of the platform's key-value service.

The client uses the etcd v3 HTTP/JSON gateway. Calls report failures in their
results instead of raising, and state whether a write without a response may
have taken effect. The client never retries a call and caches nothing, because
only the caller can decide how to handle a lost response.

A program with greenthreads must patch the standard sockets first
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

# A response has at most two values of 1 MB in base64, or a page of records.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
READ_CHUNK_BYTES = 64 * 1024
MAX_IDLE_CONNECTIONS = 4


class _ResponseError(Exception):
    """The response takes too long or is too large."""


@attrs.define(eq=False)
class Client:
    """Client of one service, which several greenthreads may share.

    Attributes:
        address: ``ip:port`` of the service.
        timeout_s: Timeout of one call in seconds.
        now: Returns the time of a monotonic clock in seconds.
        calls: Number of calls made so far, including watches.
        failures: Number of calls that returned `Unavailable`.
    """

    address: str
    timeout_s: float = 2.0
    now: Callable[[], float] = time.monotonic
    calls: int = 0
    failures: int = 0
    _pool: urllib3.HTTPConnectionPool = attrs.field(init=False)

    def __attrs_post_init__(self):
        self._pool = self._make_pool()

    def _make_pool(self) -> urllib3.HTTPConnectionPool:
        """Returns a pool without connections."""
        return urllib3.connection_from_url(
            f"http://{self.address}", maxsize=MAX_IDLE_CONNECTIONS
        )

    def _discard_connections(self) -> None:
        """Closes all idle connections after a time-out.

        They may have gone silent as well. Each would cost its caller one more
        time limit.
        """
        self._pool.close()
        self._pool = self._make_pool()

    def get(
        self, key: str
    ) -> values.KeyValue | values.Missing | values.Failure:
        """Reads one key."""
        result = self.range(values.Read(key))
        if not isinstance(result, values.Page):
            return result
        return result.items[0] if result.items else values.Missing()

    def range(self, read: values.Read) -> values.Page | values.Failure:
        """Reads one key or all keys with a prefix."""
        body = gateway.encode_range_request(read)
        return self._call(
            "/v3/kv/range", body, gateway.decode_page, is_write=False
        )

    def read_all(
        self, reads: Sequence[values.Read]
    ) -> tuple[values.Page, ...] | values.Failure:
        """Reads several keys or prefixes at one revision, in one call."""
        body = {
            "success": [
                {"request_range": gateway.encode_range_request(x)}
                for x in reads
            ]
        }

        def decode_pages(response: dict) -> tuple[values.Page, ...]:
            revision = int(response["header"]["revision"])
            found = [x["response_range"] for x in response["responses"]]
            return tuple(gateway.decode_page(x, revision) for x in found)

        return self._call("/v3/kv/txn", body, decode_pages, is_write=False)

    def txn(
        self,
        compares: Sequence[values.Compare],
        operations: Sequence[values.Put | values.Delete],
    ) -> values.Committed | values.Conflict | values.Failure:
        """Executes all operations if all comparisons hold, otherwise none."""
        body = {
            "compare": [gateway.encode_compare(x) for x in compares],
            "success": [gateway.encode_operation(x) for x in operations],
            "failure": [
                {
                    "request_range": gateway.encode_range_request(
                        values.Read(x.key)
                    )
                }
                for x in compares
            ],
        }
        return self._call("/v3/kv/txn", body, gateway.decode_txn, is_write=True)

    def put(self, put: values.Put) -> values.Committed | values.Failure:
        """Writes one key without a comparison."""
        body = gateway.encode_operation(put)["request_put"]
        return self._call(
            "/v3/kv/put", body, gateway.decode_committed, is_write=True
        )

    def grant_lease(self, ttl_s: int) -> values.Lease | values.Failure:
        """Grants a lease that expires `ttl_s` seconds after each renewal."""
        body = {"TTL": str(ttl_s), "ID": "0"}
        return self._call(
            "/v3/lease/grant", body, gateway.decode_lease, is_write=True
        )

    def keep_alive(
        self, lease: values.Lease
    ) -> values.Lease | values.Missing | values.Failure:
        """Renews a lease; returns `Missing` if it has expired."""
        body = {"ID": str(lease.lease_id)}

        def decode_renewal(response: dict) -> values.Lease | values.Missing:
            result = response["result"]
            return (
                gateway.decode_lease(result)
                if int(result.get("TTL", 0))
                else values.Missing()
            )

        return self._call(
            "/v3/lease/keepalive", body, decode_renewal, is_write=True
        )

    def revoke(
        self, lease: values.Lease
    ) -> values.Committed | values.Missing | values.Failure:
        """Revokes a lease, which deletes its keys.

        Returns:
            `Missing` if the lease does not exist any more.
        """
        body = {"ID": str(lease.lease_id)}
        result = self._call(
            "/v3/lease/revoke", body, gateway.decode_committed, is_write=True
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
        """Starts a watch in a greenthread and returns it; see `watches.Watch`.

        Args:
            prefix: Prefix of the keys to watch.
            on_event: Called with each `watches.Changed` and `watches.Deleted`.
            on_lost: Called once with the reason if the watch ends without
                having been canceled.
            start_revision: First revision to deliver; 0 for the next one.
        """
        # Imported here: the operator's command line needs no greenthreads.
        from trefoilgw.keyvalue import watches

        self.calls += 1
        watch = watches.Watch(self.address, prefix, on_event, on_lost)
        watch.start(start_revision, self.timeout_s)
        return watch

    def close(self) -> None:
        """Closes the idle connections."""
        self._pool.close()

    def _call(self, path: str, body: dict, decode: Callable, is_write: bool):
        """Makes one call and counts it.

        Args:
            path: Path of the gateway's method.
            body: Request as JSON values.
            decode: Returns the result from the decoded JSON body of a
                successful response.
            is_write: Whether the call can change data.

        Returns:
            The decoded result or a `Failure`.
        """
        self.calls += 1
        result = self._call_uncounted(path, body, decode, is_write)
        if isinstance(result, values.Unavailable):
            self.failures += 1
        return result

    def _call_uncounted(
        self, path: str, body: dict, decode: Callable, is_write: bool
    ):
        """Makes one call without counting it; see `_call`."""
        try:
            status, data = self._post(path, json.dumps(body).encode())
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return values.Unavailable(
                _describe_error(error), may_have_taken_effect=False
            )
        except (urllib3.exceptions.HTTPError, OSError, _ResponseError) as error:
            if isinstance(error, urllib3.exceptions.ReadTimeoutError):
                self._discard_connections()
            return values.Unavailable(
                _describe_error(error), may_have_taken_effect=is_write
            )
        try:
            response = json.loads(data)
            if status == 200:
                return decode(response)
            return gateway.decode_error(status, response, is_write)
        except (ValueError, TypeError, LookupError, AttributeError) as error:
            text = f"invalid response with status {status}: {error!r}"
            return values.Unavailable(text, may_have_taken_effect=is_write)

    def _post(self, path: str, body: bytes) -> tuple[int, bytes]:
        """Sends a request; returns the status and body of the response.

        Raises:
            _ResponseError: The response takes too long or is too large.
            urllib3.exceptions.HTTPError: The request failed.
            OSError: The connection failed.
        """
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
            while chunk := response.read1(READ_CHUNK_BYTES):
                data += chunk
                # The socket timeout starts again with each chunk, so it does
                # not limit a response that arrives byte by byte.
                if self.now() > deadline_s:
                    raise _ResponseError("the response takes too long")
                if len(data) > MAX_RESPONSE_BYTES:
                    raise _ResponseError("the response is too large")
        except BaseException:
            response.close()
            raise
        response.release_conn()
        return response.status, bytes(data)


def _describe_error(error: Exception) -> str:
    """Returns the type and message of an error."""
    return f"{type(error).__name__}: {error}"
