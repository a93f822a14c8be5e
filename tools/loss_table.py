#!/usr/bin/env python3
"""Accounts for the worth that one play of a day lost: by kind of request,
window of two seconds, entry and cause.

    tools/loss_table.py --site SITE.toml --report REPORT.json --log LOG
    tools/loss_table.py ... --by kind,cause        # sums over the other columns

REPORT and LOG are of one `run SITE DAY --log all --report REPORT`. How many
requests of each kind and each window were late, refused or failed comes from the
report; which entry answered them and why comes from the entries' lines on the
ends of jobs. The rows sum to the whole loss of the report. A row whose cause is
"not logged" is of requests that no line explains, for example while no entry
ran.
"""

import argparse
import collections
import dataclasses
import json
import re
import sys
import tomllib

WINDOW_S = 2.0
OUTCOMES = ("late", "refused", "failed")
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
LINE = re.compile(r"^\s*(-?\d+\.\d+) (\S+) time=")
NOT_LOGGED = "not logged"
# Rounds of proportional fitting; the margins then differ by far less than a
# request.
FITTING_ROUNDS = 200
# Events in which all machines lose power or all processes are killed, and for
# how long no entry can serve then.
TOTAL_LOSSES = ("closing", "herd_kill")
RETURN_S = 2.0


@dataclasses.dataclass(frozen=True)
class Key:
    """What a row of the table is about."""

    kind: str
    window: str
    outcome: str
    cause: str
    entry: str


@dataclasses.dataclass(frozen=True)
class JobEnd:
    """One line of an entry on the end of a job."""

    at_s: float
    entry: str
    fields: dict


def parse_line(line):
    """Returns the JobEnd that a line reports, or None."""
    start = LINE.match(line)
    if start is None or 'event="job ' not in line:
        return None
    fields = {key: value.strip('"') for key, value in FIELD.findall(line)}
    if fields.get("event") not in ("job completed", "job ended", "job refused"):
        return None
    if fields.get("job", "").endswith("/"):
        return None  # a probe of the configuration, not a job
    return JobEnd(float(start.group(1)), start.group(2), fields)


def number(fields, key, default=0.0):
    try:
        return float(fields.get(key, default))
    except ValueError:
        return default


def is_late(fields):
    return number(fields, "took_ms") > number(fields, "objective_ms")


def outcome_of(fields):
    """The outcome as the report counts it; None if nothing was lost."""
    if fields["event"] == "job completed":
        return "late" if is_late(fields) else None
    return "refused" if fields.get("verdict") == "not_run" else "failed"


def cause_of(fields):
    """Why the job was late or unanswered, by what delayed it."""
    if fields["event"] != "job completed":
        return fields.get("reason") or "no reason"
    if number(fields, "lost_runs") > 0:
        return "worker lost"
    if number(fields, "failed_runs") > 0:
        return "run failed"
    if number(fields, "moves") > 0:
        return "run moved"
    # Without waiting, the job would have taken as long as its slowest task.
    runs_ms = number(fields, "slowest_ms", number(fields, "took_ms"))
    in_time = runs_ms <= number(fields, "objective_ms")
    return "waited for capacity" if in_time else "slow run"


def window_of(at_s):
    return str(int(max(at_s, 0) // WINDOW_S * WINDOW_S))


def kinds_of_queues(ends, site):
    """Maps queues to kinds of request: the logs have the queues' names of the
    day only, so both are ordered by how long their work takes."""
    objectives = collections.defaultdict(list)
    for end in ends:
        if "queue" in end.fields:
            objectives[end.fields["queue"]].append(
                number(end.fields, "objective_ms"))
    queues = sorted(objectives,
                    key=lambda q: sorted(objectives[q])[len(objectives[q]) // 2])
    kinds = sorted(site["classes"], key=lambda kind: kind["work_ms"]["mean"])
    if len(queues) != len(kinds):
        raise SystemExit(f"user error: the log has {len(queues)} queues, the "
                         f"site has {len(kinds)} kinds of request")
    return {queue: kind["name"] for queue, kind in zip(queues, kinds)}


def count_log(ends, kinds):
    """Counts lines. One without a queue, of a job that was refused before it
    was decoded, counts in equal parts for each kind."""
    counts = collections.Counter()
    for end in ends:
        outcome = outcome_of(end.fields)
        if outcome is None:
            continue
        arrived_s = end.at_s - number(end.fields, "took_ms") / 1000
        queue = end.fields.get("queue")
        for kind in [kinds[queue]] if queue else kinds.values():
            counts[Key(kind, window_of(arrived_s), outcome,
                       cause_of(end.fields), end.entry)] += (
                           1 if queue else 1 / len(kinds))
    return counts


def margins(rows):
    return {(row["name"], outcome): row[outcome]
            for row in rows for outcome in OUTCOMES if row[outcome] > 0}


def fit(counts, report):
    """Scales the counts of the log until they agree with the report, which
    counts the outcomes of each kind and of each window. What the log lacks is
    added first as not logged."""
    by_kind = margins(report["classes"])
    by_window = margins(report["windows"])
    cells = {key: float(n) for key, n in counts.items()
             if (key.kind, key.outcome) in by_kind
             and (key.window, key.outcome) in by_window}
    for kind, outcome in by_kind:
        for window, other in by_window:
            if other == outcome and not any(
                    key.kind == kind and key.window == window
                    and key.outcome == outcome for key in cells):
                cells[Key(kind, window, outcome, NOT_LOGGED, "-")] = 1e-3
    for _ in range(FITTING_ROUNDS):
        for wanted, place in ((by_window, lambda k: (k.window, k.outcome)),
                              (by_kind, lambda k: (k.kind, k.outcome))):
            sums = collections.defaultdict(float)
            for key, n in cells.items():
                sums[place(key)] += n
            for key in cells:
                cells[key] *= wanted[place(key)] / sums[place(key)]
    return cells


def price(cells, report, site):
    """Turns counts into shares of the worth owed; the rows of each kind sum to
    what the report says that the kind lost."""
    worths = {kind["name"]: kind for kind in site["classes"]}
    owed = {row["name"]: row["n"] * worths[row["name"]]["worth"]
            for row in report["classes"]}
    lost = {row["name"]: owed[row["name"]] * (1 - row["worth"])
            for row in report["classes"]}
    total = sum(owed.values())

    def unit(key):
        kind = worths[key.kind]
        kept = kind["late_worth"] if key.outcome == "late" else 0
        return kind["worth"] - kept

    raw = collections.defaultdict(float)
    for key, n in cells.items():
        raw[key.kind] += n * unit(key)
    return {key: (n, n * unit(key) * lost[key.kind] / raw[key.kind] / total)
            for key, n in cells.items()}, sum(lost.values()) / total


def lost_to_power(report):
    """Windows in which nothing could be served: all power was lost."""
    windows = set()
    for event in report["events"]:
        if event["kind"].startswith(TOTAL_LOSSES):
            at_s = event["at_s"]
            while at_s < event["at_s"] + RETURN_S:
                windows.add(window_of(at_s))
                at_s += WINDOW_S
    return windows


def print_table(rows, total, columns, unsaveable, out):
    sums = collections.defaultdict(lambda: [0.0, 0.0])
    saved_by_nobody = 0.0
    for key, (n, loss) in rows.items():
        cell = sums[tuple(getattr(key, column) for column in columns)]
        cell[0] += n
        cell[1] += loss
        if key.window in unsaveable and key.outcome == "failed":
            saved_by_nobody += loss
    print("  ".join(f"{column:20}" for column in columns)
          + f"{'requests':>10}{'loss':>9}", file=out)
    for names, (n, loss) in sorted(sums.items(), key=lambda row: -row[1][1]):
        print("  ".join(f"{name:20}" for name in names)
              + f"{n:10.0f}{loss:9.4f}", file=out)
    whole = sum(loss for _, loss in rows.values())
    print(f"sum {whole:.4f} of a loss of {total:.4f}; failed while no machine "
          f"had power {saved_by_nobody:.4f}", file=out)


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n\n")[0])
    parser.add_argument("--site", required=True)
    parser.add_argument("--report", required=True)
    parser.add_argument("--log", required=True)
    parser.add_argument("--by", default="kind,outcome,cause",
                        help="columns of kind,window,outcome,cause,entry")
    args = parser.parse_args()
    with open(args.site, "rb") as file:
        site = tomllib.load(file)
    with open(args.report, encoding="utf-8") as file:
        report = json.load(file)
    with open(args.log, encoding="utf-8", errors="replace") as file:
        ends = [end for end in map(parse_line, file) if end is not None]
    counts = count_log(ends, kinds_of_queues(ends, site))
    rows, total = price(fit(counts, report), report, site)
    print_table(rows, total, args.by.split(","), lost_to_power(report),
                sys.stdout)


if __name__ == "__main__":
    main()
