"""Messages between the processes and their msgpack codec."""

from trefoilgw.messages.codec import Decoder
from trefoilgw.messages.codec import encode
from trefoilgw.messages.codec import FrameError
from trefoilgw.messages.codec import MAX_FRAME_BYTES
from trefoilgw.messages.core import AgentHello
from trefoilgw.messages.core import BatchDone
from trefoilgw.messages.core import BatchRef
from trefoilgw.messages.core import Challenge
from trefoilgw.messages.core import ConfigPush
from trefoilgw.messages.core import ConfigWant
from trefoilgw.messages.core import CreditAsk
from trefoilgw.messages.core import CreditGrant
from trefoilgw.messages.core import CreditLend
from trefoilgw.messages.core import CreditReturn
from trefoilgw.messages.core import CustomerDemand
from trefoilgw.messages.core import fate_from_wire
from trefoilgw.messages.core import fate_to_wire
from trefoilgw.messages.core import Forward
from trefoilgw.messages.core import ForwardReply
from trefoilgw.messages.core import HelloRefused
from trefoilgw.messages.core import Leaving
from trefoilgw.messages.core import LentCredits
from trefoilgw.messages.core import PeerHello
from trefoilgw.messages.core import PeerPing
from trefoilgw.messages.core import Ping
from trefoilgw.messages.core import Pong
from trefoilgw.messages.core import PROTOCOL_VERSION
from trefoilgw.messages.core import Reconcile
from trefoilgw.messages.core import Resize
from trefoilgw.messages.core import Roster
from trefoilgw.messages.core import RosterEntry
from trefoilgw.messages.core import RunBatch
from trefoilgw.messages.core import Strike
from trefoilgw.messages.core import TaskOutcome
from trefoilgw.messages.core import TaskSpec
from trefoilgw.messages.core import Usage
from trefoilgw.messages.core import Welcome

__all__ = [
    "AgentHello",
    "BatchDone",
    "BatchRef",
    "Challenge",
    "ConfigPush",
    "ConfigWant",
    "CreditAsk",
    "CreditGrant",
    "CreditLend",
    "CreditReturn",
    "CustomerDemand",
    "Decoder",
    "MAX_FRAME_BYTES",
    "Forward",
    "ForwardReply",
    "FrameError",
    "HelloRefused",
    "Leaving",
    "LentCredits",
    "PROTOCOL_VERSION",
    "PeerHello",
    "PeerPing",
    "Ping",
    "Pong",
    "Reconcile",
    "Resize",
    "Roster",
    "RosterEntry",
    "RunBatch",
    "Strike",
    "TaskOutcome",
    "TaskSpec",
    "Usage",
    "Welcome",
    "encode",
    "fate_from_wire",
    "fate_to_wire",
]
