"""Tests of job timelines built from the log lines of several hosts."""

import json
import random
import unittest

from trefoilgw.logs import job_timeline

KEY = "0123456789abcdef"


def make_line(second, host, event, **fields):
    time = f"2026-09-03T09:11:{second:06.3f}+00:00"
    return json.dumps({"time": time, "host": host, "message": event, **fields})


class JobTimelineTest(unittest.TestCase):
    def test_lines_of_all_hosts_are_sorted_by_time(self):
        """Log files of several hosts are read in any order."""
        rows = [
            make_line(1.0, "entry-1", "job admitted", job=KEY),
            make_line(1.1, "entry-1", "tasks sent", job=KEY, runner="worker-1"),
            make_line(1.2, "worker-1", "run started", task=f"{KEY}.0.0.0"),
            make_line(1.3, "worker-1", "target lost", detail="refused"),
            make_line(
                1.4, "entry-1", "job ended", job=KEY, outcome="completed"
            ),
        ]
        others = [
            make_line(0.5, "worker-1", "target joined"),
            make_line(1.25, "entry-1", "job admitted", job="f" * 16),
            "",
            "not a line",
        ]
        mixed = rows + others
        random.Random(4).shuffle(mixed)
        timeline = job_timeline.build_timeline(mixed, KEY)
        self.assertEqual(
            [json.loads(x)["message"] for x in rows],
            [x.event for x in timeline.steps],
        )
        self.assertEqual(1, timeline.unreadable)

    def test_text_before_json_is_skipped(self):
        """Log collectors prefix each line with their own time and host."""
        row = "  3.25 entry-1 " + make_line(
            1, "entry-1", "job admitted", job=KEY
        )
        self.assertEqual(1, len(job_timeline.build_timeline([row], KEY).steps))

    def test_what_ends_runs_is_shown_with_the_job(self):
        """Why a run was given up stands in lines without the job's id."""
        context = [
            make_line(1.1, "worker-1", event)
            for event in (
                "leases expired",
                "other target reported",
                "runner given up",
                "target gone",
            )
        ]
        rows = [
            make_line(1.0, "entry-1", "job admitted", job=KEY),
            *context,
            make_line(1.2, "entry-1", "task repeated", task=f"{KEY}.0.0.0"),
        ]
        timeline = job_timeline.build_timeline(rows, KEY)
        self.assertEqual(6, len(timeline.steps))

    def test_summary_names_the_cause(self):
        """Operators need the cause of a failure, not only the outcome."""
        failed = {"runner": "worker-2", "ending": "failed", "reason": ""}
        repeated = {**failed, "evidence": "ended"}
        stalled = {**repeated, "ending": "stopped", "reason": "stalled"}
        cases = {
            "rejected at once, reason overload: room was expected after 0.5 s, "
            "it could wait 0.2 s": [
                make_line(
                    1,
                    "a",
                    "job rejected",
                    job=KEY,
                    reason="overload",
                    wait_s=0.5,
                    slack_s=0.2,
                )
            ],
            "rejected at once, reason late: its host was short of processor "
            "time; with the delay it was expected to start after 0.3 s, it "
            "could wait 0.2 s": [
                make_line(
                    1,
                    "a",
                    "job rejected",
                    job=KEY,
                    reason="late",
                    wait_s=0.3,
                    slack_s=0.2,
                )
            ],
            "failed after 2 s; attempts that did nothing: "
            "1 x stalled at worker-2 (ended), 2 x failed at worker-2 (ended), "
            "1 x failed at worker-2": [
                make_line(
                    0, "a", "task repeated", task=f"{KEY}.0.0.1", **stalled
                ),
                make_line(
                    1, "a", "task repeated", task=f"{KEY}.0.0.1", **repeated
                ),
                make_line(
                    1.5, "a", "task repeated", task=f"{KEY}.0.0.1", **repeated
                ),
                make_line(
                    2, "a", "run not done", task=f"{KEY}.0.0.1", **failed
                ),
                make_line(
                    3, "a", "job ended", job=KEY, outcome="failed", took_s=2
                ),
            ],
            "no end is logged; check what happened to a after "
            "2026-09-03T09:11:01.000+00:00": [
                make_line(1, "a", "job admitted", job=KEY)
            ],
            "no log line names this job": [],
        }
        for expected, lines in cases.items():
            with self.subTest(expected=expected):
                timeline = job_timeline.build_timeline(lines, KEY)
                self.assertEqual(expected, job_timeline.summarize(timeline))
