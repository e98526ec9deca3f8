"""Encoding of what a host knows of prompt segments as a datagram.

It is sent only while upstreams crash, in the form of
`egretspur.membership.tagged`. Read next: `egretspur.admission.segments`.
"""

from __future__ import annotations

from typing import Any, Final

import attrs

from egretspur import checks
from egretspur.admission import segments
from egretspur.membership import datagrams, tagged

# First element of the list, which tells it from a peer update.
TAG: Final = "segments"

# How the datagram of an update begins.
PREFIX: Final = tagged.make_prefix(TAG)

# Fields that list crashes before the first output, and after it.
_CRASHES: Final = "crashes"
_OUTPUT_CRASHES: Final = "output_crashes"

# Longest texts that are accepted: ids of segments with their model, and others.
MAX_SEGMENT_CHARS: Final = 200
MAX_MARK_CHARS: Final = 32


@attrs.frozen
class EvidenceUpdate:
    """What a host knows of prompt segments."""

    # Address of the sending host.
    host: str
    data_centre: str
    evidence: segments.Update

    def is_empty(self) -> bool:
        """Returns whether there is nothing to send."""
        return self.evidence.is_empty()


def encode(update: EvidenceUpdate) -> bytes:
    """Returns the datagram for an update."""
    found = update.evidence
    fields = {
        _CRASHES: [_list_crash(c) for c in found.crashes if not c.has_output],
        _OUTPUT_CRASHES: [
            _list_crash(c) for c in found.crashes if c.has_output
        ],
        "answered": dict(found.answered),
    }
    return tagged.encode(TAG, update.host, update.data_centre, fields)


def _list_crash(crash: segments.PublishedCrash) -> list[Any]:
    return [
        crash.start,
        crash.request,
        list(crash.segments),
        crash.has_head,
        crash.sent_age_s,
        crash.cut_age_s,
    ]


def decode(data: bytes) -> EvidenceUpdate | datagrams.InvalidUpdate:
    """Returns the update in a datagram, or why it is refused."""
    return tagged.decode(data, TAG, _read)


def _read(host: str, data_centre: str, table: checks.Table) -> EvidenceUpdate:
    answered = (
        table.get_table("answered").items() if table.has("answered") else ()
    )
    return EvidenceUpdate(
        host,
        data_centre,
        segments.Update(
            (
                *_decode_crashes(table, _CRASHES, False),
                *_decode_crashes(table, _OUTPUT_CRASHES, True),
            ),
            {
                _check_text(
                    s, "answered", MAX_SEGMENT_CHARS
                ): checks.check_number(age_s, "answered")
                for s, age_s in answered
            },
        ),
    )


def _decode_crashes(
    table: checks.Table, field: str, has_output: bool
) -> list[segments.PublishedCrash]:
    rows = table.get(field) if table.has(field) else []
    return [
        _decode_crash(row, field, has_output)
        for row in checks.check_list(rows, field)[: segments.MAX_PUBLISHED]
    ]


def _decode_crash(
    row: Any, field: str, has_output: bool
) -> segments.PublishedCrash:
    start, request, found, has_head, sent_age_s, cut_age_s = checks.check_row(
        row, field, 6
    )
    listed = checks.check_list(found, field)
    return segments.PublishedCrash(
        _check_text(start, field, MAX_MARK_CHARS),
        _check_text(request, field, MAX_MARK_CHARS),
        tuple(
            _check_text(s, field, MAX_SEGMENT_CHARS)
            for s in listed[: segments.MAX_PUBLISHED_SEGMENTS]
        ),
        checks.check_flag(has_head, field),
        checks.check_number(sent_age_s, field),
        checks.check_number(cut_age_s, field),
        has_output,
    )


def _check_text(value: Any, field: str, most: int) -> str:
    text = checks.check_text(value, field)
    if len(text) > most:
        raise checks.FieldError(field, f"longer than {most}: {text!r:.60}")
    return text
