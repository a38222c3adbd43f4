"""Adapter between the platform's interfaces and the product's types.

This is the only package that knows the platform's names, paths, headers and
body formats. It makes no decisions and holds no state besides connections.

Notes:
    Nothing is exported here: a runner needs other modules than a scheduler, and
    each import delays the start of hundreds of processes.
"""
