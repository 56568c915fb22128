"""Forwarding of requests to instances, and the node's view of the instances."""

from ._admission_gate import AdmissionGate
from ._call import ForwardedCall
from ._connections import InstanceConnections
from ._events import EventDecoder, StreamEvent
from ._fleet_view import FleetView, InstanceHandle
from ._forward import ForwardedAnswer, Forwarder
from ._stream import StreamEnd, StreamForwarder
from ._stream_reader import StreamSink
from ._upstream_call import call_instance, record_refusal

__all__ = [
    "AdmissionGate",
    "EventDecoder",
    "FleetView",
    "ForwardedAnswer",
    "ForwardedCall",
    "Forwarder",
    "InstanceConnections",
    "InstanceHandle",
    "StreamEnd",
    "StreamEvent",
    "StreamForwarder",
    "StreamSink",
    "call_instance",
    "record_refusal",
]
