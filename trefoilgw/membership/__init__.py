"""Failure detection of agents, ejection of outliers and stopping of kinds."""

from trefoilgw.membership.changes import Eject
from trefoilgw.membership.changes import KindReleased
from trefoilgw.membership.changes import PoisonKind
from trefoilgw.membership.changes import Probe
from trefoilgw.membership.changes import Readmit
from trefoilgw.membership.heartbeats import HeartbeatMonitor
from trefoilgw.membership.heartbeats import Recovered
from trefoilgw.membership.heartbeats import Removed
from trefoilgw.membership.heartbeats import Suspected
from trefoilgw.membership.outliers import OutlierDetector

__all__ = [
    "Eject",
    "HeartbeatMonitor",
    "KindReleased",
    "OutlierDetector",
    "PoisonKind",
    "Probe",
    "Readmit",
    "Recovered",
    "Removed",
    "Suspected",
]
