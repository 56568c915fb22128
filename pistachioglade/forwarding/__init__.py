"""Forwarding of requests to instances, and what is known of these."""

from ._fleet_view import FleetView
from ._forward import ForwardedCall, Forwarder
from ._upstream_call import call_instance

__all__ = ["FleetView", "ForwardedCall", "Forwarder", "call_instance"]
