"""Tests of validation, encoding and comparison of configuration documents."""

import copy
import json
import pathlib
import unittest

import hypothesis
from hypothesis import strategies as st

from trefoilgw.records import core as records

SAMPLES = pathlib.Path(__file__).resolve().parents[3] / "tools" / "samples"
BASE = {
    "revision": 3,
    "customers": [
        {
            "name": "old",
            "schema": 1,
            "token_sha256": "0" * 64,
            "rate": 10,
            "running_limit_tasks": 5,
        },
        {
            "name": "new",
            "schema": 2,
            "token_sha256": "1" * 64,
            "weight": 2,
            "starts_s": 10.5,
            "running_limit_tasks": 5,
            "status": "departed",
        },
    ],
    "services": [{"name": "s", "schema": 1}],
    "kinds": [
        {
            "name": "k1",
            "schema": 1,
            "service": "s",
            "customers": ["old"],
            "priority": 2,
            "deadline_s": 5,
            "run_time_s": 0.5,
        },
        {
            "name": "k2",
            "schema": 2,
            "service": "s",
            "customers": ["old", "new"],
            "urgency": "normal",
            "weight": 1,
            "deadline_s": 5,
            "run_time_s": 5,
            "idempotent": True,
        },
    ],
}
ABSENT = object()

# Case: (path of the value in BASE, new value, places of the findings). A
# record without a valid name also invalidates the references to it.
INVALID_VALUES = {
    "revision": (("revision",), -1, "document/revision"),
    "boolean revision": (("revision",), True, "document/revision"),
    "reason of two lines": (("reason",), "a\nb", "document/reason"),
    "long reason": (("reason",), "a" * 501, "document/reason"),
    "unknown section": (("targets",), [], "document/targets"),
    "no services": (("services",), ABSENT, "document/services"),
    "kinds by name": (("kinds",), {"k1": {}}, "document/kinds"),
    "record is a string": (
        ("services", 0),
        "s",
        "services[0] kinds/k1/service kinds/k2/service",
    ),
    "name": (
        ("customers", 1, "name"),
        "New",
        "customers[1]/name kinds/k2/customers",
    ),
    "no name": (
        ("services", 0, "name"),
        ABSENT,
        "services[0]/name kinds/k1/service kinds/k2/service",
    ),
    "name twice": (("kinds", 1, "name"), "k1", "kinds/k1/name"),
    "schema 3": (("kinds", 0, "schema"), 3, "kinds/k1/schema"),
    "schema true": (("kinds", 0, "schema"), True, "kinds/k1/schema"),
    "no schema": (("kinds", 1, "schema"), ABSENT, "kinds/k2/schema"),
    "digest": (
        ("customers", 0, "token_sha256"),
        "A" * 64,
        "customers/old/token_sha256",
    ),
    "shared token": (
        ("customers", 1, "token_sha256"),
        "0" * 64,
        "customers/new/token_sha256",
    ),
    "rate 0": (("customers", 0, "rate"), 0, "customers/old/rate"),
    "rate is a string": (("customers", 0, "rate"), "9", "customers/old/rate"),
    "rate beyond float": (
        ("customers", 0, "rate"),
        10**400,
        "customers/old/rate",
    ),
    "status in schema 1": (
        ("customers", 0, "status"),
        "active",
        "customers/old/status",
    ),
    "rate in schema 2": (("customers", 1, "rate"), 1, "customers/new/rate"),
    "status": (("customers", 1, "status"), "gone", "customers/new/status"),
    "no weight": (("customers", 1, "weight"), ABSENT, "customers/new/weight"),
    "running limit": (
        ("customers", 1, "running_limit_tasks"),
        1.5,
        "customers/new/running_limit_tasks",
    ),
    "priority 3": (("kinds", 0, "priority"), 3, "kinds/k1/priority"),
    "priority in schema 2": (("kinds", 1, "priority"), 0, "kinds/k2/priority"),
    "urgency": (("kinds", 1, "urgency"), "Urgent", "kinds/k2/urgency"),
    "no customers": (("kinds", 1, "customers"), [], "kinds/k2/customers"),
    "unknown customer": (
        ("kinds", 1, "customers"),
        ["old", "other"],
        "kinds/k2/customers",
    ),
    "customer twice": (
        ("kinds", 1, "customers"),
        ["old", "old"],
        "kinds/k2/customers",
    ),
    "unknown service": (("kinds", 0, "service"), "t", "kinds/k1/service"),
    "deadline": (("kinds", 1, "deadline_s"), 601, "kinds/k2/deadline_s"),
    "run time": (("kinds", 1, "run_time_s"), 5.01, "kinds/k2/run_time_s"),
    "idempotent": (("kinds", 1, "idempotent"), 1, "kinds/k2/idempotent"),
    "draining": (("draining",), ["Agent 1"], "document/draining"),
}

UNREADABLE_DOCUMENTS = {
    "empty": b"",
    "truncated": b'{"customers": [',
    "not UTF-8": b'{"a": "\xff"}',
    "a list": b"[]",
    "NaN": b'{"revision": NaN}',
    "deeply nested": b"[" * 100_000,
    "long number": b'{"revision": ' + b"9" * 5000 + b"}",
    "2 MB": json.dumps(BASE | {"reason": "x" * 2_000_000}).encode(),
}


def with_value(path, value):
    """Returns a copy of BASE with the value at a path replaced or removed."""
    document = copy.deepcopy(BASE)
    container = document
    for key in path[:-1]:
        container = container[key]
    if value is ABSENT:
        del container[path[-1]]
    else:
        container[path[-1]] = value
    return document


def parse(document):
    return records.parse_document(json.dumps(document).encode())


class ParseTest(unittest.TestCase):
    def test_both_schemas_in_one_document(self):
        """Both schemas are in use; an upgrade must not change the meaning."""
        configuration = parse(BASE)
        old, new = configuration.customers
        self.assertEqual((1, 10.0, "active", 1.0), self.customer_fields(old))
        self.assertEqual((2, 10.5, "departed", 2.0), self.customer_fields(new))
        first, second = configuration.kinds
        self.assertEqual(
            ("background", False), (first.urgency, first.idempotent)
        )
        self.assertEqual(("normal", True), (second.urgency, second.idempotent))
        self.assertIs(second, configuration.kind("k2"))
        self.assertIsNone(configuration.kind("k3"))

    @staticmethod
    def customer_fields(customer):
        return (
            customer.schema,
            customer.starts_s,
            customer.status,
            customer.weight,
        )

    def test_each_invalid_value_is_reported(self):
        """An invalid value that passes would be distributed to all processes.

        Each case must give exactly the findings listed for it.
        """
        for case, (path, value, places) in INVALID_VALUES.items():
            with self.subTest(case):
                found = parse(with_value(path, value))
                self.assertIsInstance(found, tuple)
                self.assertEqual(places.split(), [item.place for item in found])

    def test_all_invalid_values_are_reported_together(self):
        """An operator must be able to correct all faults in one pass."""
        document = copy.deepcopy(BASE)
        document["revision"] = "3"
        document["extra"] = 1
        document["draining"] = [7]
        document["customers"][0]["rate"] = -1
        document["customers"][1]["status"] = 0
        document["services"].append([])
        document["kinds"][0]["service"] = "none"
        document["kinds"][0]["priority"] = None
        del document["kinds"][1]["weight"]
        document["kinds"][1]["deadline_s"] = 0
        found = parse(document)
        self.assertEqual(10, len(found))
        self.assertEqual(10, len({item.place for item in found}))

    def test_unreadable_documents(self):
        """A document that can't be decoded must give a single finding."""
        for case, data in UNREADABLE_DOCUMENTS.items():
            with self.subTest(case):
                (finding,) = records.parse_document(data)
                self.assertEqual("document", finding.place)
                self.assertEqual(0, records.document_revision(data))

    def test_duplicate_keys_are_reported(self):
        """JSON decoders silently keep the last value of a duplicate key."""
        text = json.dumps(BASE)
        text = text.replace('"rate": 10', '"rate": 10, "rate": 99')
        text = text.replace('{"revision": 3', '{"revision": 9, "revision": 3')
        found = records.parse_document(text.encode())
        places = [item.place for item in found]
        self.assertEqual(["document/revision", "customers/old/rate"], places)

    @hypothesis.given(
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.text(max_size=5),
            lambda children: (
                st.lists(children, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["name", "schema", "customers", "kinds", "rate"]
                    ),
                    children,
                )
            ),
        )
    )
    def test_arbitrary_json_gives_findings(self, value):
        """An exception would terminate the process that reads the record."""
        document = dict(BASE, customers=[value], kinds=value)
        self.assertIsInstance(parse(document), tuple)
        self.assertIsInstance(parse(value), tuple)


class EncodeTest(unittest.TestCase):
    def test_round_trip_keeps_the_schema(self):
        """A rewrite by `drain` must not upgrade records as a side effect."""
        configuration = parse(BASE)
        data = records.encode_document(configuration)
        self.assertEqual(configuration, records.parse_document(data))
        self.assertEqual(3, records.document_revision(data))
        written = json.loads(data)
        self.assertEqual(10.0, written["customers"][0]["rate"])
        self.assertEqual(2, written["kinds"][0]["priority"])

    def test_too_large_to_encode(self):
        """The platform would reject a value that validation had accepted."""
        names = [f"agent-{number:06}" for number in range(80_000)]
        configuration = parse(BASE | {"draining": names[:100]})
        self.assertEqual(100, len(configuration.draining))
        configuration = records.attrs.evolve(configuration, draining=names)
        (finding,) = records.encode_document(configuration)
        self.assertIn("1000000", finding.text)

    def test_samples_are_valid(self):
        """The demo and the manual use these documents."""
        names = {"bluebonnet": 2, "cobre-calco": 1}
        for name, schema in names.items():
            with self.subTest(name):
                data = (SAMPLES / f"{name}.json").read_bytes()
                configuration = records.parse_document(data)
                token = f"{name}-sample-token"
                customer = configuration.customer_by_token(token)
                self.assertEqual(
                    (name, schema), (customer.name, customer.schema)
                )
                wrong = configuration.customer_by_token(token + "\ud800")
                self.assertIsNone(wrong)


class DifferenceTest(unittest.TestCase):
    def test_changes(self):
        """The audit trail must list every changed field and no others."""
        old = parse(BASE)
        document = with_value(("kinds", 0, "priority"), 0)
        document["revision"] = 4
        document["draining"] = ["agent-1"]
        document["services"].append({"name": "t", "schema": 2})
        del document["customers"][1]
        document["kinds"][1]["customers"] = ["old"]
        changes = records.difference(old, parse(document))
        rows = {(x.record, x.field): (x.old, x.new) for x in changes}
        self.assertEqual(("background", "urgent"), rows["kinds/k1", "urgency"])
        self.assertEqual(
            (["old", "new"], ["old"]), rows["kinds/k2", "customers"]
        )
        self.assertEqual((None, 2), rows["services/t", "schema"])
        self.assertEqual(("departed", None), rows["customers/new", "status"])
        self.assertEqual((False, True), rows["draining", "agent-1"])
        removed_fields = 7
        self.assertEqual(removed_fields + 4, len(rows))
        self.assertEqual((), records.difference(old, old))


if __name__ == "__main__":
    unittest.main()
