"""Failure detection of agents, ejection of outliers and stopping of kinds.

The modules are imported one by one, since a runner needs only `schedulers`.
"""
