"""Startup, signals and shutdown of programs on the users' platform.

Notes:
    Nothing is exported here, since `startup` must run before other modules are
    imported.
"""
