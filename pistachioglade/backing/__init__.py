"""Clients of the platform: object API, instance list and weight store."""

from ._http import HttpReply, HttpSession
from ._instances import Instance, InstanceList
from ._object_api import ObjectApi, StoredObject
from ._root_store import ROOT_PATH, RootStore
from ._weight_store import CHUNK_BYTES, WeightStore

__all__ = [
    "CHUNK_BYTES",
    "ROOT_PATH",
    "HttpReply",
    "HttpSession",
    "Instance",
    "InstanceList",
    "ObjectApi",
    "RootStore",
    "StoredObject",
    "WeightStore",
]
