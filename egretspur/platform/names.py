"""The platform's names on the wire and in its settings."""

from __future__ import annotations

from typing import Final

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE: Final = "EGRETSPUR_NODE_FILE"

# Hop-by-hop header fields, in lower case; never forwarded.
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

# Header fields of a caller's request.
REQUEST_ID: Final = "Attempt-Id"
RESUME_AFTER: Final = "Last-Event-Id"
TOKENS: Final = "Token-Usage"
LENGTH_ESTIMATE: Final = "Length-Hint"
# Segments of the prompt in order, each as ID:TOKENS with the id in hexadecimal.
SEGMENTS: Final = "Prefix-Hash"
DEADLINE: Final = "Deadline-Ms"
API_KEY: Final = "Authorization"

# Decimal places of Retry-After that callers' clients read.
RETRY_AFTER_DECIMALS: Final = 2

# Header fields that the product sets on requests to upstreams.
EXPECTED_UPSTREAM: Final = "Target-Replica"
WORKSPACE: Final = "Tenant"
# Holds the path of stages, not a count.
PATH: Final = "Hop-Count"
PRIORITY: Final = "Request-Priority"

# Header fields of an upstream's response.
SIGNATURE: Final = "Replica-Signature"
# Present if the request was not executed.
NOT_RUN: Final = "Not-Executed"
# Address of the stage at fault.
FAULTY_ADDRESS: Final = "At-Server"
# Requests per second that it accepts from all hosts together.
LIMIT: Final = "Server-Limit"
LEAVING: Final = "Server-Leaving"

# Paths on an upstream.
REPORT_PATH: Final = "/egretspur/report"
ORDER_PATH: Final = "/egretspur/order"

# The load balancer's readiness check, on a host.
READY_PATH: Final = "/egretspur/readyz"

# Header field of the store's responses; see `egretspur.catalog.positions`.
STORE_ERA: Final = "Store-Era"

# Topics and keys in the store.
CONFIG_TOPIC: Final = "keyed.op"
CONFIG_KEY: Final = "config"
UPSTREAMS_TOPIC: Final = "keyed.servers"
# The product's own topic: quarantined requests.
QUARANTINE_TOPIC: Final = "keyed.quarantine"
# The product's own topic: the owner of its partition is the duty holder.
DUTY_TOPIC: Final = "duty"
