"""The sample configuration of both customers on one fleet.

The customers' documents stand in ``tools/samples``. Their tokens are replaced
by ones that the tools know.
"""

import hashlib
import json
import pathlib

SAMPLES = pathlib.Path(__file__).resolve().parent / "samples"
PARTS = ("customers", "services", "kinds")


def token_of(customer: str) -> str:
    """Returns the token that a customer has in the sample configuration."""
    return f"{customer}-sample-token"


def document() -> dict:
    """Returns the merged document with the tools' own tokens."""
    merged = {part: [] for part in PARTS}
    for path in sorted(SAMPLES.glob("*.json")):
        content = json.loads(path.read_text(encoding="utf-8"))
        for part in PARTS:
            merged[part] += content[part]
    for customer in merged["customers"]:
        token = token_of(customer["name"]).encode()
        customer["token_sha256"] = hashlib.sha256(token).hexdigest()
    return merged


def many_customers(count: int) -> dict:
    """Returns a document with `count` customers that share one kind."""
    model = document()
    customer, kind = model["customers"][0], model["kinds"][0]
    names = [f"customer-{number}" for number in range(count)]
    model["customers"] = []
    for name in names:
        token = hashlib.sha256(token_of(name).encode()).hexdigest()
        model["customers"].append(
            customer | {"name": name, "token_sha256": token}
        )
    model["kinds"] = [kind | {"customers": names}]
    return model


def tokens() -> dict[str, str]:
    """Returns the tokens by customer."""
    names = [customer["name"] for customer in document()["customers"]]
    return {name: token_of(name) for name in names}


def services() -> tuple[str, ...]:
    """Returns the services that the kinds of work need."""
    return tuple(service["name"] for service in document()["services"])
