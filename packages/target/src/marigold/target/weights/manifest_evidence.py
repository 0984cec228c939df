"""Evidence that the manifest of a download is corrupt, and when to ask for it again.

Operators name a version, and one answer of the origin says which digests its chunks
have. If a digest in it is wrong, no source can send the chunk, so that no runner ever
loads the version, while the minimum version soon forbids the earlier one.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum

from marigold.core.schema.generated.records import Manifest

# Seconds between two requests for a manifest in doubt, doubled with each request.
FIRST_DELAY_S = 1.0
MAXIMUM_DELAY_S = 8.0
# Answers in a row with the manifest in use after which the evidence is dropped. A hub
# may repeat an answer that it has just got, so one is not enough.
CONFIRMATIONS = 2


class Verdict(Enum):
    """What a later answer means for the manifest in use."""

    CONFIRMED = "confirmed"
    REPLACED = "replaced"
    REJECTED = "rejected"


class ManifestEvidence:
    """Evidence against the manifest of one download.

    Two observations contradict a manifest: a chunk that arrives twice with the same
    bytes, as corrupt answers differ, and a peer that uses another manifest of the same
    version. Both also occur with a sound manifest, so they only cause requests for the
    manifest, at increasing intervals. Times are in seconds on any clock that does not
    go back.

        if evidence.should_ask(now):
            evidence.record_ask(now)
            answer = await source.get_manifest(model, version, evidence.get_doubted())
            if evidence.judge(answer, download.held) is Verdict.REPLACED:
                ...
    """

    __slots__ = (
        "_ask_at",
        "_confirmations",
        "_delay",
        "_found",
        "_manifest",
        "_other",
        "_rejected",
        "_repeated",
    )

    def __init__(self, manifest: Manifest) -> None:
        self._manifest = manifest
        self._found: dict[int, str] = {}
        self._repeated: set[int] = set()
        self._other = ""
        self._rejected = ""
        self._confirmations = 0
        self._delay = FIRST_DELAY_S
        self._ask_at = 0.0

    @property
    def reasons(self) -> list[str]:
        """What contradicts the manifest: ``chunks``, ``peers``, both or nothing."""
        found = {"chunks": self._repeated, "peers": self._other}
        return [name for name, evidence in found.items() if evidence]

    def record_mismatch(self, index: int, digest: str) -> None:
        """Record the digest of bytes that do not match the digest of their chunk."""
        if self._found.get(index) == digest:
            self._repeated.add(index)
        self._found[index] = digest

    def record_match(self, index: int) -> None:
        """Record that bytes match the digest of their chunk, which is thus right."""
        self._found.pop(index, None)
        self._repeated.discard(index)

    def record_other(self, digest: str) -> bool:
        """Record the digest of another manifest that a peer uses for the version.

        Return whether it is new.
        """
        is_new = digest != self._other
        self._other = digest
        return is_new

    def should_ask(self, now: float) -> bool:
        """Return whether to ask for the manifest again."""
        return now >= self._ask_at and bool(self.reasons)

    def record_ask(self, now: float) -> None:
        """Record that the manifest is asked for; the next time is later."""
        self._ask_at = now + self._delay
        self._delay = min(2 * self._delay, MAXIMUM_DELAY_S)

    def get_doubted(self) -> list[str]:
        """Return the digests of the manifests that are no sufficient answer."""
        return [item for item in (self._manifest.digest, self._rejected) if item]

    def judge(self, answer: Manifest, held: Collection[int]) -> Verdict:
        """Decide between the manifest in use and a later answer.

        `held` are the chunks whose bytes match the manifest in use. This proves their
        digests, so an answer that has other ones is rejected, unless the next answer
        is the same.
        """
        if answer.digest == self._manifest.digest:
            self._rejected = ""
            self._confirmations += 1
            if self._confirmations >= CONFIRMATIONS:
                self._confirmations = 0
                self._found.clear()
                self._repeated.clear()
                self._other = ""
            return Verdict.CONFIRMED
        self._confirmations = 0
        if answer.digest != self._rejected and self._contradicts(answer, held):
            self._rejected = answer.digest
            return Verdict.REJECTED
        return Verdict.REPLACED

    def _contradicts(self, answer: Manifest, held: Collection[int]) -> bool:
        chunks = self._manifest.chunks
        if len(answer.chunks) != len(chunks):
            return bool(held)
        return any(answer.chunks[index] != chunks[index] for index in held)
