"""Fingerprints that identify repeats of the same request."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

DIGEST_BYTES = 16


def compute_fingerprint(parts: Iterable[str], body: bytes) -> str:
    """Return a hexadecimal digest of the content of a request.

    `parts` identify the caller and the requested resource. They must not contain the
    identifier of an attempt, so that all attempts have the same fingerprint.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(part.encode("utf-8", "surrogateescape") + b"\0")
    digest.update(body)
    return digest.hexdigest()
