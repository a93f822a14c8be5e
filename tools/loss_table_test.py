#!/usr/bin/env python3
"""Tests of loss_table.py."""

import unittest

import loss_table

SITE = {"classes": [
    {"name": "order", "worth": 4.0, "late_worth": 1.0, "work_ms": {"mean": 700}},
    {"name": "check", "worth": 1.0, "late_worth": 0.5, "work_ms": {"mean": 50}},
]}
EMPTY = {"late": 0, "refused": 0, "failed": 0}
REPORT = {
    "classes": [
        {**EMPTY, "name": "order", "n": 100, "late": 4, "failed": 2,
         "worth": 0.95},
        {**EMPTY, "name": "check", "n": 200, "refused": 6, "worth": 0.97},
    ],
    "windows": [
        {**EMPTY, "name": "0", "late": 1, "refused": 6},
        {**EMPTY, "name": "2", "late": 3, "failed": 2},
    ],
    "events": [{"kind": "closing (power_off_all)", "at_s": 2.5}],
}


def line(at_s, event, queue, **fields):
    text = " ".join(f"{key}={value}" for key, value in fields.items())
    return (f"  {at_s:.4f} entry-1 time=2026-01-01T00:00:00.000Z level=info "
            f'process=entry-1 event="{event}" queue={queue} {text}')


def rows_of(lines):
    ends = [end for end in map(loss_table.parse_line, lines) if end is not None]
    counts = loss_table.count_log(ends, loss_table.kinds_of_queues(ends, SITE))
    return loss_table.price(loss_table.fit(counts, REPORT), REPORT, SITE)


LINES = [
    line(1.0, "job completed", "r-a", took_ms=1300, objective_ms=1200,
         slowest_ms=1250, last_sent_after_ms=10),
    line(3.5, "job completed", "r-a", took_ms=1300, objective_ms=1200,
         slowest_ms=800, last_sent_after_ms=500),
    line(3.1, "job completed", "r-a", took_ms=900, objective_ms=1200),
    line(0.5, "job ended", "r-b", verdict="not_run", reason="busy", took_ms=5,
         objective_ms=140),
    line(0.6, "task requeued", "r-b", why="retries_no_room"),
]


class LossTableTest(unittest.TestCase):

    def test_rows_sum_to_the_loss_of_the_report(self):
        rows, total = rows_of(LINES)
        self.assertAlmostEqual(sum(loss for _, loss in rows.values()), total)
        self.assertAlmostEqual(total, (400 * 0.05 + 200 * 0.03) / 600)

    def test_counts_agree_with_both_margins_of_the_report(self):
        rows, _ = rows_of(LINES)
        by_window = {}
        for key, (n, _) in rows.items():
            place = (key.window, key.outcome)
            by_window[place] = by_window.get(place, 0) + n
        self.assertAlmostEqual(by_window[("0", "late")], 1, places=3)
        self.assertAlmostEqual(by_window[("2", "late")], 3, places=3)
        self.assertAlmostEqual(by_window[("0", "refused")], 6, places=3)

    def test_late_job_has_the_cause_that_delayed_it(self):
        rows, _ = rows_of(LINES)
        causes = {key.cause for key in rows if key.outcome == "late"}
        self.assertEqual(causes, {"slow run", "waited for capacity"})

    def test_failure_without_a_line_is_not_logged(self):
        rows, _ = rows_of(LINES)
        failed = [key for key in rows if key.outcome == "failed"]
        self.assertEqual([key.cause for key in failed], [loss_table.NOT_LOGGED])
        self.assertEqual(loss_table.lost_to_power(REPORT), {"2"})

    def test_lost_or_moved_run_is_named_before_waiting(self):
        fields = {"event": "job completed", "lost_runs": "1", "moves": "1"}
        self.assertEqual(loss_table.cause_of(fields), "worker lost")
        fields["lost_runs"] = "0"
        self.assertEqual(loss_table.cause_of(fields), "run moved")

    def test_refusal_before_decoding_counts_for_each_kind(self):
        report = {**REPORT, "classes": [
            {**EMPTY, "name": "order", "n": 10, "refused": 1, "worth": 0.9},
            {**EMPTY, "name": "check", "n": 10, "refused": 2, "worth": 0.8}],
            "windows": [{**EMPTY, "name": "0", "refused": 3}]}
        lines = [line(0.1, "job completed", "r-a", objective_ms=9),
                 line(0.1, "job completed", "r-b", objective_ms=8),
                 '  0.5 entry-1 time=x level=info process=entry-1 '
                 'event="job refused" job=/p/5c0e verdict=not_run '
                 'reason="no configuration yet"',
                 '  0.5 entry-1 time=x level=info process=entry-1 '
                 'event="job refused" job=/p/ reason="no such queue"']
        ends = [end for end in map(loss_table.parse_line, lines) if end]
        counts = loss_table.count_log(
            ends, loss_table.kinds_of_queues(ends, SITE))
        cells = loss_table.fit(counts, report)
        self.assertEqual({key.cause for key in cells}, {"no configuration yet"})
        self.assertEqual({key.kind: round(n) for key, n in cells.items()},
                         {"order": 1, "check": 2})

    def test_queues_that_do_not_fit_the_kinds_are_a_user_error(self):
        with self.assertRaisesRegex(SystemExit, "user error: the log has 1"):
            rows_of(LINES[:1])


if __name__ == "__main__":
    unittest.main()
