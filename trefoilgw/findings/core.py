"""The type of findings, shared by the validation of settings and records.

Validation collects all findings before it reports them, so that an operator
can correct a file in one pass. The checks themselves are defined elsewhere;
see the packages `settings` and `records`.
"""

from collections.abc import Iterable

import attrs


@attrs.frozen
class Finding:
    """A fault in a settings file, a configuration document or a request.

    Attributes:
        place: Where the fault is, such as ``file:line`` or ``record/field``.
        text: What is wrong and what is expected, in one sentence.
    """

    place: str
    text: str


def render(findings: Iterable[Finding]) -> str:
    """Formats findings as text, one per line.

    Example:
        >>> render([Finding("entry.toml:3", "unknown key 'prot'")])
        "entry.toml:3: unknown key 'prot'"
    """
    return "\n".join(f"{item.place}: {item.text}" for item in findings)
