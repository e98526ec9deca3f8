"""Fingerprint that identifies a request across retries: pure.

A retried request has another id and often reaches another host. Its sender,
destination and body stay the same.
"""

from __future__ import annotations

import hashlib
from typing import Final

# Bytes of a fingerprint. Hosts exchange some dozens of them; among a million
# requests two collide with a probability of one in thirty million.
_BYTES: Final = 8

_LENGTH_BYTES: Final = 8


def compute(*parts: str | bytes) -> str:
    """Returns a hex digest of the parts, equal on every host."""
    digest = hashlib.blake2b(digest_size=_BYTES)
    for part in parts:
        raw = part.encode() if isinstance(part, str) else part
        # Prefixed with the length, so that moving a byte from one part to the
        # next changes the digest.
        digest.update(len(raw).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(raw)
    return digest.hexdigest()
