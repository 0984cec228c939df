from __future__ import annotations

import unittest

from marigold.entry.relay.streams import (
    EventSequence,
    EventSplitter,
    StreamOrderError,
)


class EventSplitterTests(unittest.TestCase):
    def test_partial_event_is_buffered(self):
        splitter = EventSplitter()
        events = splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual([event.id for event in events], [1])
        self.assertTrue(splitter.has_partial_event)
        events = splitter.feed(b"ta: b\n\n")
        self.assertEqual([event.data for event in events], [b"id: 2\ndata: b\n\n"])
        self.assertFalse(splitter.has_partial_event)

    def test_bytes_are_relayed_unchanged(self):
        data = (
            b"weight-versions: 2\nid: 1\ndata: a\n\n: note\n\nid: 2\r\ndata: b\r\n\r\n"
        )
        for size in (1, 3, 7, len(data)):
            splitter = EventSplitter()
            parts = [data[i : i + size] for i in range(0, len(data), size)]
            events = [event for part in parts for event in splitter.feed(part)]
            self.assertEqual(b"".join(event.data for event in events), data)


class EventSequenceTests(unittest.TestCase):
    def test_id_with_too_many_digits_is_rejected(self):
        events = EventSplitter().feed(b"id: " + b"9" * 6000 + b"\ndata: a\n\n")
        self.assertEqual(len(events), 1)
        for last in (None, 1):
            with self.assertRaises(StreamOrderError):
                EventSequence(last).check(events[0])

    def check(self, sequence, *numbers):
        splitter = EventSplitter()
        for number in numbers:
            for event in splitter.feed(b"id: %d\ndata: x\n\n" % number):
                sequence.check(event)

    def test_resumed_stream_continues_with_the_next_event(self):
        sequence = EventSequence(None)
        self.check(sequence, 1, 2, 3)
        self.check(sequence, 4, 5)
        self.assertEqual(sequence.last, 5)

    def test_missing_and_repeated_events_are_detected(self):
        for wrong in (3, 5, 7):
            sequence = EventSequence(None)
            self.check(sequence, 4, 5)
            with self.assertRaises(StreamOrderError):
                self.check(sequence, wrong)

    def test_stream_that_the_caller_resumed_continues_after_its_last_event(self):
        sequence = EventSequence(12)
        with self.assertRaises(StreamOrderError):
            self.check(sequence, 1)
