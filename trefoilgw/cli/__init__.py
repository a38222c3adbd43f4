"""Command line `trefoilgw` for operators; see `trefoilgw.cli.main`."""

__all__: list[str] = []
