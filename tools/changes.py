"""Builds CHANGES.md from the fragments in docs/changes/.

Every change adds its own fragment, so that two concurrent changes do not edit
the same file. Run ``make changes`` after adding one.
"""

import pathlib
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEAD = """\
# Changes

Built from `docs/changes/` by `make changes`; change a fragment, not this page.
"""


def build(root: pathlib.Path) -> str:
    """Returns the content of CHANGES.md.

    Args:
        root: Root of the project, with pyproject.toml and docs/changes/.

    Raises:
        ValueError: A fragment does not start with a list item.
    """
    project = tomllib.loads((root / "pyproject.toml").read_text("utf-8"))
    parts = [HEAD, f"## {project['project']['version']}\n"]
    for path in sorted((root / "docs" / "changes").glob("*.md")):
        text = path.read_text("utf-8").strip()
        if not text.startswith("- "):
            raise ValueError(f"{path.name} does not start with '- '")
        parts.append(f"### {path.stem}\n\n{text}\n")
    return "\n".join(parts)


def main() -> int:
    """Writes CHANGES.md and returns 0."""
    (ROOT / "CHANGES.md").write_text(build(ROOT), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main())
