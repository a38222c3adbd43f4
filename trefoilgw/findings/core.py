"""The finding type shared by the checks of settings and records.

A check collects every finding before it reports, so that an operator can mend
a file in one go. This module does not decide what is wrong with a file.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen
class Finding:
    """One fault in a settings file, a record document or a request.

    Attributes:
        place: ``file:line`` or ``record/field``.
        text: What is wrong and what is expected, in one sentence.
    """

    place: str
    text: str


def render(findings: Iterable[Finding]) -> str:
    """Returns the findings as text, one a line.

    Example:
        >>> render([Finding("entry.toml:3", "unknown key 'prot'")])
        "entry.toml:3: unknown key 'prot'"
    """
    return "\n".join(f"{item.place}: {item.text}" for item in findings)
