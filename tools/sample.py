"""Sample configuration of both customers on one fleet.

The customers' documents are in ``tools/samples``. Their token hashes are
replaced by those of tokens that the tools know.
"""

import hashlib
import json
import pathlib

SAMPLES = pathlib.Path(__file__).resolve().parent / "samples"
SECTIONS = ("customers", "services", "kinds")


def token_of(customer: str) -> str:
    """Returns the token that a customer has in the sample configuration."""
    return f"{customer}-sample-token"


def document() -> dict:
    """Returns the merged configuration with the tokens of `token_of`."""
    merged = {section: [] for section in SECTIONS}
    for path in sorted(SAMPLES.glob("*.json")):
        content = json.loads(path.read_text(encoding="utf-8"))
        for section in SECTIONS:
            merged[section] += content[section]
    for customer in merged["customers"]:
        token = token_of(customer["name"]).encode()
        customer["token_sha256"] = hashlib.sha256(token).hexdigest()
    return merged


def many_customers(count: int) -> dict:
    """Returns a configuration with `count` customers that share one kind."""
    configuration = document()
    customer, kind = configuration["customers"][0], configuration["kinds"][0]
    names = [f"customer-{number}" for number in range(count)]
    configuration["customers"] = []
    for name in names:
        token = hashlib.sha256(token_of(name).encode()).hexdigest()
        configuration["customers"].append(
            customer | {"name": name, "token_sha256": token}
        )
    configuration["kinds"] = [kind | {"customers": names}]
    return configuration


def tokens() -> dict[str, str]:
    """Returns the tokens by customer."""
    names = [customer["name"] for customer in document()["customers"]]
    return {name: token_of(name) for name in names}


def services() -> tuple[str, ...]:
    """Returns the names of the configured services."""
    return tuple(service["name"] for service in document()["services"])
