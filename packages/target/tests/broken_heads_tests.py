"""Back ends that stop within the head or the body of an answer."""

from __future__ import annotations

import asyncio
import socket
import struct
from itertools import product

from drivers_tests import TEXT, DriverTestCase, RawBackEnd, make_part

from marigold.core.schema.generated.messages import AnswerChunk, AnswerEnd

STEP = 5
# Bytes around the end of the head at which each answer is cut.
AROUND = range(-5, 4)
BATCH = 60
BODY = b"whole-answer"
EVENTS = b"data: a\n\ndata: b\n\ndata: [DONE]\n\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
SERVICE_ANSWERS = {
    "length": (TEXT + b"Content-Length: 12\r\n\r\n", BODY),
    "length first": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nContent-Type: text/plain\r\n\r\n",
        BODY,
    ),
    "chunks": (TEXT + CHUNKED + b"\r\n", make_part(BODY) + make_part(b"")),
    "error": (b"HTTP/1.1 500 Odd\r\nContent-Length: 12\r\n\r\n", BODY),
    "nothing stated": (TEXT + b"\r\n", BODY),
}
MODEL_ANSWERS = {
    "length": SERVICE_ANSWERS["length"],
    "stream": (STREAM + CHUNKED + b"\r\n", make_part(EVENTS) + make_part(b"")),
    "stream, nothing stated": (STREAM + b"\r\n", EVENTS),
}


class ResettingBackEnd(RawBackEnd):
    """A back end that resets the connection after its answer."""

    async def _serve(self, reader, writer):
        try:
            self.requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(self.answer)
            await writer.drain()
            await asyncio.sleep(0.01)
        except asyncio.IncompleteReadError:
            # The gate asked whether the back end still listens.
            pass
        linger = struct.pack("ii", 1, 0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


def list_cuts(head, rest):
    """Return the sizes at which an answer is cut, none of which leaves it whole."""
    whole = len(head) + len(rest)
    sizes = {*range(0, whole, STEP), *(len(head) + n for n in AROUND), whole - 1}
    return sorted(size for size in sizes if 0 <= size < whole)


class BrokenHeadTests(DriverTestCase):
    async def play(self, answer, cls):
        back_end = cls(answer)
        port = await back_end.start()
        self.addAsyncCleanup(back_end.stop)
        link = await self.run_at(port, version="1" if self.kind == "model" else "")
        return len(back_end.requests), link

    async def check(self, answers):
        cases = [
            (name, size, cls)
            for name, parts in answers.items()
            for size, cls in product(list_cuts(*parts), (RawBackEnd, ResettingBackEnd))
        ]
        for start in range(0, len(cases), BATCH):
            batch = cases[start : start + BATCH]
            played = await asyncio.gather(
                *(
                    self.play(b"".join(answers[name])[:size], cls)
                    for name, size, cls in batch
                )
            )
            for case, (requests, link) in zip(batch, played, strict=True):
                with self.subTest(case):
                    self.assertEqual(requests, 1)
                    end = link.get(AnswerEnd)[0]
                    self.assertIn(end.outcome, ("cut", "failed"))
                    data = b"".join(chunk.data for chunk in link.get(AnswerChunk))
                    self.assertTrue(BODY.startswith(data) or EVENTS.startswith(data))

    async def test_broken_answer_of_a_service_is_not_done(self):
        await self.check(SERVICE_ANSWERS)

    async def test_broken_answer_of_an_engine_is_not_done(self):
        self.kind = "model"
        await self.check(MODEL_ANSWERS)
