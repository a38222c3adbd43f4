"""Tests that the key-value stand-in behaves like the etcd gateway."""

import base64
import json
import unittest

import urllib3

from tools.standins import kv
from tools.standins import kv_store

TIMEOUT_S = 10.0
ROOT_RANGE = {"key": "AA==", "range_end": "AA=="}


def b64(text):
    return base64.b64encode(text.encode()).decode()


def put(key, value="v", **fields):
    return {"key": b64(key), "value": b64(value), **fields}


class StoreTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.store = kv_store.Store(now=lambda: self.now_s)

    def keys(self):
        return sorted(key.decode() for key in self.store.key_values)

    def test_compare_and_swap(self):
        """If two racing writes both succeeded, lost updates would be hidden."""
        self.store.put(put("a"))
        for target, value, holds in (
            ("MOD", "2", True),
            ("MOD", "3", False),
            ("CREATE", "2", True),
            ("VERSION", "0", False),
        ):
            with self.subTest(target=target, value=value):
                field = {"MOD": "mod_revision", "CREATE": "create_revision"}
                compare = {
                    "key": b64("a"),
                    "target": target,
                    field.get(target, "version"): value,
                }
                answer = self.store.txn({"compare": [compare]})
                self.assertEqual(holds, answer.get("succeeded", False))

    def test_refused_transaction_has_no_effect(self):
        """A partial transaction would store a document without its audit."""
        large = put("b", "x" * (kv_store.MAX_VALUE_BYTES + 1))
        for bad in (large, put("b", lease="9")):
            operations = [{"request_put": put("a")}, {"request_put": bad}]
            with self.assertRaises(kv_store.KvError):
                self.store.txn({"success": operations})
        self.assertEqual(([], 1), (self.keys(), self.store.revision))

    def test_lapsed_lease_deletes_its_keys(self):
        changes = []
        self.store.on_changes = lambda _, found: changes.extend(found)
        lease = self.store.grant({"TTL": "10"})["ID"]
        self.store.put(put("a", lease=lease))
        self.store.put(put("b", lease=lease))
        self.store.put(put("b"))  # Removes the key from the lease.
        self.now_s = 9.0
        self.assertIn("TTL", self.store.keep_alive({"ID": lease})["result"])
        self.now_s = 19.0
        self.store.expire()
        self.assertEqual(["b"], self.keys())
        self.assertTrue(changes[-1].deleted)
        self.assertNotIn("TTL", self.store.keep_alive({"ID": lease})["result"])

    def test_history_is_bounded(self):
        for number in range(kv_store.MAX_HISTORY_REVISIONS + 5):
            self.store.put(put("a", str(number)))
        with self.assertRaises(kv_store.KvError):
            self.store.changes_since(self.store.compacted)
        kept = self.store.changes_since(self.store.compacted + 1)
        self.assertEqual(kv_store.MAX_HISTORY_REVISIONS, len(kept))

    def test_range_order_and_limit(self):
        for name in ("b", "a", "c"):
            self.store.put(put(name))
        request = ROOT_RANGE | {"limit": "2", "sort_order": "DESCEND"}
        answer = self.store.range(request)
        keys = [base64.b64decode(item["key"]) for item in answer["kvs"]]
        self.assertEqual([b"c", b"b"], keys)
        self.assertTrue(answer["more"])
        self.assertEqual("3", answer["count"])


class ServerTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.server = kv.Server(now=lambda: self.now_s)
        self.server.serve()
        self.addCleanup(self.server.close)
        self.http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
        self.addCleanup(self.http.clear)

    def post(self, path, body, **options):
        url = f"http://{self.server.address}{path}"
        text = body if isinstance(body, str) else json.dumps(body)
        return self.http.request("POST", url, body=text, **options)

    def test_both_spellings_of_fields(self):
        """The gateway accepts both spellings, so clients may use either."""
        for name in ("requestPut", "request_put"):
            operation = {name: put("a")}
            answer = self.post("/v3/kv/txn", {"success": [operation]}).json()
            self.assertIn("response_put", answer["responses"][0])

    def test_bad_requests(self):
        cases = {
            "not JSON": ("/v3/kv/put", "{", 400),
            "a list": ("/v3/kv/put", "[]", 400),
            "not base64": ("/v3/kv/put", {"key": "%"}, 400),
            "unknown call": ("/v3/auth/enable", {}, 501),
            "old revision": ("/v3/kv/range", {"revision": "1"}, 501),
            "no lease": ("/v3/lease/revoke", {"ID": "5"}, 404),
        }
        for case, (path, body, status) in cases.items():
            with self.subTest(case):
                answer = self.post(path, body)
                self.assertEqual(status, answer.status)
                self.assertIn("code", answer.json())

    def test_limits_and_counts(self):
        """Figures of the load on the platform come from these counts."""
        self.server.set_switches(writes_s=2, reads_s=3)
        writes = [self.post("/v3/kv/put", put("a")).status for _ in range(4)]
        reads = [self.post("/v3/kv/range", ROOT_RANGE).status for _ in range(6)]
        self.assertEqual([200, 200, 429, 429], writes)
        self.assertEqual([200] * 3 + [429] * 3, reads)
        self.assertEqual({"put": 4, "range": 6}, dict(self.server.calls))
        self.assertEqual({"put": 2, "range": 3}, dict(self.server.refused))
        self.now_s += 1.0
        self.assertEqual(200, self.post("/v3/kv/put", put("a")).status)

    def test_watch_counts_once_and_ends_with_its_client(self):
        answer = self.post(
            "/v3/watch", {"create_request": ROOT_RANGE}, preload_content=False
        )
        self.assertIn(b"created", answer.read1())
        self.post("/v3/kv/put", put("a"))
        self.assertIn(b"events", answer.read1())
        status = self.post("/control/status", {}).json()
        self.assertEqual(1, status["calls"]["watch"])
        self.assertEqual(1, status["open_watches"])
        (watch,) = self.server.watches
        answer.close()
        watch.ended.wait(timeout=TIMEOUT_S)
        self.assertEqual([], self.server.watches)

    def test_switches_over_http(self):
        self.post("/control/switches", {"down": True, "slow_s": 0.5})
        self.assertTrue(self.server.switches.down)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            self.post("/v3/kv/put", put("a"))
        answer = self.post("/control/switches", {}).json()
        self.assertEqual((False, 0.0), (answer["down"], answer["slow_s"]))
        lease = self.post("/v3/lease/grant", {"TTL": "60"}).json()["ID"]
        self.post("/v3/kv/put", put("a", lease=lease))
        self.post("/control/lapse_leases", {})
        self.assertEqual({}, self.server.store.key_values)
        self.assertEqual(400, self.post("/control/switches", {"x": 1}).status)


if __name__ == "__main__":
    unittest.main()
