"""Names that the platform uses on the wire and in its settings."""

from __future__ import annotations

from typing import Final

# Variable with the path of the settings file.
SETTINGS_VARIABLE: Final = "EGRETSPUR_NODE_FILE"

# Fields of one connection, in lower case; never passed on.
CONNECTION_FIELDS: Final = frozenset(
    {
        "connection",
        "content-length",
        "keep-alive",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

# Header fields of a request.
REQUEST_ID: Final = "Attempt-Id"
RESUME_AFTER: Final = "Last-Event-Id"
TOKENS: Final = "Token-Usage"
LENGTH_ESTIMATE: Final = "Length-Hint"
DEADLINE: Final = "Deadline-Ms"
KEY: Final = "Authorization"

# Header fields that the product sets toward an upstream.
EXPECTED_UPSTREAM: Final = "Target-Replica"
WORKSPACE: Final = "Tenant"
PATH: Final = "Hop-Count"
PRIORITY: Final = "Request-Priority"

# Header fields of an upstream's answer.
RECEIPT: Final = "Replica-Signature"
NOT_RUN: Final = "Not-Executed"
AT_FAULT: Final = "At-Server"
# Requests a second that it takes from all hosts together.
LIMIT: Final = "Server-Limit"
LEAVING: Final = "Server-Leaving"

# Paths on an upstream.
REPORT_PATH: Final = "/egretspur/report"
ORDER_PATH: Final = "/egretspur/order"

# The balancer's question.
READY_PATH: Final = "/egretspur/readyz"

# Header field of the store's answers; see `egretspur.catalog.positions`.
STORE_ERA: Final = "Store-Era"

# Topics and keys of the store.
CONFIG_TOPIC: Final = "keyed.op"
CONFIG_KEY: Final = "config"
SERVERS_TOPIC: Final = "keyed.servers"
# The product's own: requests that are sent to no upstream any more.
QUARANTINE_TOPIC: Final = "keyed.quarantine"
# The product's own: whoever holds its partition gives orders.
DUTY_TOPIC: Final = "duty"
