"""Client of the weight store: model sizes and the store's rate.

Assumed wire format: ``GET /models/<model>`` returns the fields of `ModelSpec`.
Engines fetch the weights themselves; the system only reads sizes, for planning.
"""

from __future__ import annotations

import urllib.parse

import attrs

from egretspur import codec, errors, transport


@attrs.frozen
class ModelSpec:
    """Sizes of a model."""

    model: str
    layers: int
    layer_bytes: int
    # Bytes an adapter adds to each layer.
    adapter_layer_bytes: int
    # Bytes sent from stage to stage for each token.
    activation_bytes: int
    versions: tuple[str, ...]
    adapters: tuple[str, ...]
    # Bytes per second that the store sends to all readers together.
    store_bytes_s: float


class WeightsClient:
    """Reads model sizes."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self._address = address
        self._transport = transport.Transport(timeout_s, timeout_s)

    def read(self, model: str) -> ModelSpec | errors.Refusal:
        """Returns a model's sizes, or a refusal."""
        path = "/models/" + urllib.parse.quote(model, safe="")
        res = self._transport.call("GET", self._address, path)
        if isinstance(res, transport.Failed):
            return errors.Refusal(
                errors.ErrorKind.UPSTREAM_FAILED, f"weight store: {res.reason}"
            )
        if res.status == 404:
            return errors.Refusal(
                errors.ErrorKind.NOT_FOUND,
                f"the weight store has no model {model!r}",
            )
        try:
            return codec.load(res.body, ModelSpec)
        except codec.DecodeError as exc:
            return errors.Refusal(
                errors.ErrorKind.UPSTREAM_FAILED, f"weight store: {exc}"
            )

    def close(self) -> None:
        """Closes the connections."""
        self._transport.close()
