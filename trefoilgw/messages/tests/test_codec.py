"""Tests for the codec: round trips and invalid frames."""

import contextlib
import struct
import unittest

import msgpack
from hypothesis import given
from hypothesis import strategies as st

from trefoilgw.messages import codec
from trefoilgw.messages import core as messages
from trefoilgw.messages import runs
from trefoilgw.outcomes import core as outcomes
from trefoilgw.work import core as work

ENTRY = messages.RosterEntry("a" * 16, "127.0.0.1:1", "127.0.0.1:2", "d1")
SAMPLES = (
    messages.Leaving(),
    messages.Pong(1.0, 2, (1, 2)),
    messages.PeerHello(1, ENTRY, 3, b"p"),
    messages.Welcome("b" * 16, 1, 2, 3.0, 4, (ENTRY, ENTRY)),
    messages.RunBatch(
        1, "j", "c", "k", "s", 2, "", 1.5, True, (messages.TaskSpec(0, b"{}"),)
    ),
)


def frame(body: bytes) -> bytes:
    return struct.pack(">I", len(body)) + body


class CodecTest(unittest.TestCase):
    def test_round_trip_in_chunks_of_any_size(self):
        """TCP may split a frame at any byte."""
        data = b"".join(codec.encode(sample) for sample in SAMPLES)
        for size in (1, 3, 7, len(data)):
            decoder = codec.Decoder()
            decoded = []
            for start in range(0, len(data), size):
                decoded += decoder.feed(data[start : start + size])
            self.assertEqual(list(SAMPLES), decoded)

    def test_frames_without_the_last_fields(self):
        """A host with the former version does not send run time errors."""
        room = runs.Room(1000, 64, 0)
        flat_room = [1000, 64, 0]
        cases = {
            runs.Offer(3, 2, room): [57, 3, 2, flat_room],
            runs.Bid((runs.WaitingDemand(2, 0.5, room, room),)): [
                56,
                [[2, 0.5, flat_room, flat_room]],
            ],
            runs.StartRuns(
                3,
                (
                    runs.RunGroup(
                        "p", (runs.RunOrder("j.0.0.0", 1, room, 0.4, 2),)
                    ),
                ),
                1.5,
            ): [53, 3, [["p", [["j.0.0.0", 1, flat_room, 0.4, 2]]]], 1.5],
        }
        for expected, flat in cases.items():
            with self.subTest(type(expected).__name__):
                (found,) = codec.Decoder().feed(frame(msgpack.packb(flat)))
                self.assertEqual(expected, found)

    def test_invalid_frames_raise_frame_error(self):
        """A peer with another protocol must cause one clear error."""
        cases = {
            "not msgpack": frame(b"\xc1"),
            "not an array": frame(msgpack.packb({"a": 1})),
            "empty array": frame(msgpack.packb([])),
            "unknown code": frame(msgpack.packb([9999])),
            "code is a list": frame(msgpack.packb([[1]])),
            "too few fields": frame(msgpack.packb([11, 1.0])),
            "wrong type": frame(msgpack.packb([11, "now", 2])),
            "flat wrong type": frame(msgpack.packb([12, "x"])),
            "nested wrong type": frame(msgpack.packb([22, 1, ["x"]])),
            "over the limit": struct.pack(">I", codec.MAX_FRAME_BYTES + 1),
        }
        for name, data in cases.items():
            with self.subTest(name), self.assertRaises(codec.FrameError):
                list(codec.Decoder().feed(data))

    def test_times_that_are_no_numbers_are_refused(self):
        """No comparison with NaN holds, so a lease would never expire."""
        for value in (float("nan"), float("inf")):
            for message in (
                runs.RunnerPing(value),
                runs.RunEnded("t", 1, "done", "", value),
            ):
                with self.subTest(message=message):
                    frame = codec.encode(message)
                    with self.assertRaises(codec.FrameError):
                        list(codec.Decoder().feed(frame))

    def test_end_of_a_run_without_evidence_is_recognized(self):
        """It must not count as evidence that the run can no longer work."""
        data = frame(msgpack.packb([55, "t", 1, "lost", "gone", 0.5]))
        (ended,) = codec.Decoder().feed(data)
        self.assertEqual(work.Evidence.NONE, ended.evidence)
        self.assertEqual(("", 0), (ended.instance, ended.started_ms))

    def test_truncated_frame_yields_nothing(self):
        """A stream cut within a frame must not yield a partial message."""
        data = codec.encode(SAMPLES[-1])
        self.assertEqual([], list(codec.Decoder().feed(data[:-1])))

    def test_extra_fields_are_ignored(self):
        """A newer sender may append fields."""
        data = frame(msgpack.packb([12, 3, "new"]))
        self.assertEqual(
            [messages.CreditGrant(3)], list(codec.Decoder().feed(data))
        )

    @given(st.binary(max_size=200))
    def test_any_bytes_decode_or_raise_frame_error(self, data):
        """Random bytes must raise nothing but `FrameError`."""
        with contextlib.suppress(codec.FrameError):
            list(codec.Decoder().feed(frame(data)))


class FateTest(unittest.TestCase):
    def test_round_trip(self):
        """`NotRun` and `Unknown` must stay distinct on the wire."""
        fates = (
            outcomes.Completed(b"{}", 0.5),
            outcomes.Failed(outcomes.Reason.TARGET_ERROR, "x", 0.1),
            outcomes.NotRun(outcomes.Reason.NO_SLOT),
            outcomes.Unknown(outcomes.Reason.DEADLINE),
        )
        for fate in fates:
            wire = messages.fate_to_wire(3, fate)
            self.assertEqual(fate, messages.fate_from_wire(wire))

    def test_unrecognized_fate_is_unknown(self):
        """A fate that only a newer agent knows must not become `NotRun`."""
        wire = messages.TaskOutcome(0, "paused", "r", "", b"", 0.0)
        self.assertIsInstance(messages.fate_from_wire(wire), outcomes.Unknown)


if __name__ == "__main__":
    unittest.main()
