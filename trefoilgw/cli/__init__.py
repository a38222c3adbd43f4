"""The operator's command `trefoilgw`; it starts in `trefoilgw.cli.main`."""

__all__: list[str] = []
