"""Header fields, paths and object kinds of the platform's wire protocol."""

from __future__ import annotations

from typing import Final

ATTEMPT_ID: Final = "Pistachioglade-Attempt-Id"
DEADLINE_MS: Final = "Pistachioglade-Deadline-Ms"
SIGNATURE: Final = "Pistachioglade-Response-Signature"
EXPECTED_INSTANCE: Final = "Pistachioglade-Expected-Instance"
EXPECTED_VERSION: Final = "Pistachioglade-Expected-Version"
INSTANCE_ID: Final = "Pistachioglade-Instance-Id"
INSTANCE_LOAD: Final = "Pistachioglade-Instance-Load"
NOT_EXECUTED: Final = "Pistachioglade-Not-Executed"
MODEL: Final = "Pistachioglade-Model"
#: Number of prompt tokens and limit of output tokens, separated by a comma.
TOKEN_USAGE: Final = "Pistachioglade-Token-Usage"
LENGTH_HINT: Final = "Pistachioglade-Length-Hint"
REQUEST_PRIORITY: Final = "Pistachioglade-Request-Priority"
WAIT_MS: Final = "Pistachioglade-Wait-Timeout-Ms"
WEIGHT_VERSIONS: Final = "Pistachioglade-Weight-Versions"
#: A caller's key; it goes to no instance.
KEY: Final = "Api-Key"
#: Name of the account that a request belongs to; the platform calls it a tenant.
ACCOUNT: Final = "Pistachioglade-Tenant"
DUTY_HOLDER: Final = "Pistachioglade-Duty-Holder"
FENCING_TOKEN: Final = "Pistachioglade-Fencing-Token"
LAST_EVENT_ID: Final = "Last-Event-Id"

#: First line of a stream event at which the weight version changes.
VERSION_LINE: Final = WEIGHT_VERSIONS.lower()

READINESS_PATH: Final = "/v1/readiness"
#: Path prefix of jobs; the platform calls a job a lot.
JOB_PATH: Final = "/v1/lots/"
ITEM_PATH: Final = "/v1/items/"
USAGE_PATH: Final = "/usage"
SCALING_PATH: Final = "/scaling"
ENGINE_STATE_PATH: Final = "/v1/report"
ENGINE_ORDER_PATH: Final = "/v1/order"

#: Kinds of objects that other writers store, and the configuration object's name.
CONFIGURATION_KIND: Final = "config"
CONFIGURATION_NAME: Final = "main"
INSTANCE_KIND: Final = "servers"
VERSION_KIND: Final = "versions"
#: A retirement is a request to drain a machine.
RETIREMENT_KIND: Final = "retirements"
