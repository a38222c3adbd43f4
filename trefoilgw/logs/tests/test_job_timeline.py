"""The story of a job out of mixed log lines."""

import json
import random
import unittest

from trefoilgw.logs import job_timeline

KEY = "0123456789abcdef"


def line(second, host, event, **fields):
    time = f"2026-09-03T09:11:{second:06.3f}+00:00"
    return json.dumps({"time": time, "host": host, "message": event, **fields})


class StoryTest(unittest.TestCase):
    def test_lines_of_all_hosts_in_order_of_time(self):
        """Files of several hosts come in any order."""
        rows = [
            line(1.0, "entry-1", "job admitted", job=KEY),
            line(1.1, "entry-1", "tasks sent", job=KEY, runner="worker-1"),
            line(1.2, "worker-1", "run started", task=f"{KEY}.0.0.0"),
            line(1.3, "worker-1", "target lost", detail="refused"),
            line(1.4, "entry-1", "job ended", job=KEY, outcome="completed"),
        ]
        others = [
            line(0.5, "worker-1", "target joined"),
            line(1.25, "entry-1", "job admitted", job="f" * 16),
            "",
            "not a line",
        ]
        mixed = rows + others
        random.Random(4).shuffle(mixed)
        story = job_timeline.build_timeline(mixed, KEY)
        self.assertEqual(
            [json.loads(x)["message"] for x in rows],
            [x.event for x in story.steps],
        )
        self.assertEqual(1, story.unreadable)

    def test_text_before_a_line_is_skipped(self):
        """Collectors put their own time and host before each line."""
        row = "  3.25 entry-1 " + line(1, "entry-1", "job admitted", job=KEY)
        self.assertEqual(1, len(job_timeline.build_timeline([row], KEY).steps))

    def test_cause(self):
        """The first line must name the cause, not only the outcome."""
        failed = {"runner": "worker-2", "ending": "failed", "reason": ""}
        cases = {
            "rejected at once, reason overload: room was expected after 0.5 s, "
            "it could wait 0.2 s": [
                line(
                    1,
                    "a",
                    "job rejected",
                    job=KEY,
                    reason="overload",
                    wait_s=0.5,
                    slack_s=0.2,
                )
            ],
            "failed after 2 s; attempts that did nothing: "
            "2 x failed at worker-2": [
                line(1, "a", "run not done", task=f"{KEY}.0.0.1", **failed),
                line(2, "a", "run not done", task=f"{KEY}.0.0.1", **failed),
                line(3, "a", "job ended", job=KEY, outcome="failed", took_s=2),
            ],
            "no end is told; look at what became of a after "
            "2026-09-03T09:11:01.000+00:00": [
                line(1, "a", "job admitted", job=KEY)
            ],
            "no line tells of this job": [],
        }
        for expected, lines in cases.items():
            with self.subTest(expected=expected):
                story = job_timeline.build_timeline(lines, KEY)
                self.assertEqual(expected, job_timeline.summarize(story))
