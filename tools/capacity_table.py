#!/usr/bin/env python3
"""Works out the tables of docs/CAPACITY.md from recorded slopes.

  tools/capacity_table.py           # writes the tables into the page
  tools/capacity_table.py --check   # fails when the page differs

The page holds each table between "<!-- table NAME -->" and "<!-- end -->". A
row's formula is a line of arithmetic over

  s[NAME]       slope of a series of bench/capacity_slopes.json
  c[NAME]       its value at size 0
  at[NAME@N]    median that was measured at size N
  plain names   sizes and assumptions (SIZES), or earlier rows by their key

and stands in the page with the numbers put in:

  "workers * s[entry.memory.workers]"  ->  "1,300 × 1,295 = 1,683,500"
"""

import argparse
import difflib
import json
import pathlib
import re
import statistics
import sys
from dataclasses import dataclass

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "CAPACITY.md"
SLOPES = ROOT / "bench" / "capacity_slopes.json"
ROWS = ROOT / "bench" / "capacity_rows.json"

TOKEN = re.compile(
    r"(s|c)\[([\w.]+)\]|at\[([\w.]+)@(\d+)\]|([A-Za-z_]\w*)")
BLOCK = re.compile(r"(<!-- table (\w+) -->\n).*?(<!-- end -->)", re.S)


@dataclass
class Row:
    """One figure: what it is, how it is worked out, and its bound."""

    key: str
    what: str
    formula: str
    unit: str
    mark: str  # measured, derived or assumed
    by: str  # the mechanism that carries it
    budget: str = ""  # a formula too; empty: none
    mend: str = ""  # the change that would bring it within the budget
    mended: str = ""  # the figure after that change, a formula too


class Workings:
    """Values of sizes, slopes and the rows worked out so far."""

    def __init__(self, sizes, slopes):
        self.values = {name: size["value"] for name, size in sizes.items()}
        self.slopes = slopes

    def number_of(self, match):
        part, line, series, size, name = match.groups()
        if part:
            return self.slopes[line]["slope" if part == "s" else "intercept"]
        if series:
            points = self.slopes[series]["points"]
            values = [p["values"] for p in points if p["size"] == int(size)]
            return statistics.median(values[0])
        return self.values[name]

    def work_out(self, formula):
        """The value, and the formula with its numbers in place."""
        value = eval(TOKEN.sub(lambda m: repr(self.number_of(m)), formula))
        shown = TOKEN.sub(lambda m: text_of(self.number_of(m)), formula)
        return value, shown.replace("*", "×")


def text_of(value):
    """Four significant digits, thousands apart; whole numbers in full."""
    if value == int(value) and abs(value) < 1e7:
        return f"{int(value):,}"
    if abs(value) >= 1000:
        return f"{round(value):,}"
    return f"{value:.4g}"


def table(head, lines):
    rule = ["---"] * len(head)
    return "".join("| " + " | ".join(line) + " |\n" for line in [head, rule, *lines])


def sizes_table(sizes):
    lines = [
        [f"`{name}`", text_of(size["value"]), size["unit"], size["mark"], size["from"]]
        for name, size in sizes.items()
    ]
    return table(["name", "value", "unit", "mark", "from"], lines)


def slopes_table(slopes):
    lines = []
    for name, s in slopes.items():
        spread = f"{text_of(s['slope_low'])} to {text_of(s['slope_high'])}"
        points = s["points"]
        lines.append([
            f"`{name}`", f"{text_of(s['slope'])} {s['unit']}", s["grown"], spread,
            text_of(s["intercept"]), f"{s['r_squared']:.3f}",
            f"{text_of(points[0]['size'])} to {text_of(points[-1]['size'])}",
            f"`{s['family']}`",
        ])
    head = ["series", "slope", "for each of", "spread over repeats", "at 0", "r²",
            "from size to", "family"]
    return table(head, lines)


def verdict_of(value, budget):
    if budget is None:
        return ""
    return "**over**" if value > budget else f"{100 * value / budget:.2g} %"


def rows_table(rows, workings):
    lines = []
    for row in rows:
        value, shown = workings.work_out(row.formula)
        workings.values[row.key] = value
        budget = workings.work_out(row.budget)[0] if row.budget else None
        lines.append([
            row.what, f"{shown}", f"{text_of(value)} {row.unit}",
            text_of(budget) if budget is not None else "",
            verdict_of(value, budget), row.mark, row.by,
        ])
    head = ["figure", "worked out", "value", "budget", "of budget", "mark", "carried by"]
    return table(head, lines)


def over_table(rows, workings):
    """The rows beyond their budget, or close to it, and what would mend them."""
    lines = []
    for row in rows:
        if not row.budget:
            continue
        value = workings.values[row.key]
        budget = workings.work_out(row.budget)[0]
        if value > budget and not row.mend:
            sys.exit(f"{ROWS}: {row.key} is over its budget and names no mend")
        if not row.mend:
            continue
        after, shown = workings.work_out(row.mended)
        working = "" if shown == text_of(after) else f"{shown} = "
        lines.append([
            row.what, f"{text_of(value)} {row.unit}", text_of(budget),
            verdict_of(value, budget), row.mend, f"{working}{text_of(after)} {row.unit}",
        ])
    head = ["figure", "value", "budget", "of budget", "change that would mend it",
            "then (derived)"]
    return table(head, lines)


def make_tables():
    plan = json.loads(ROWS.read_text())
    slopes = json.loads(SLOPES.read_text())
    workings = Workings(plan["sizes"], slopes)
    tables = {"sizes": sizes_table(plan["sizes"]), "slopes": slopes_table(slopes)}
    all_rows = []
    for name, fields in plan["tables"].items():
        rows = [Row(**row) for row in fields]
        tables[name] = rows_table(rows, workings)
        all_rows.extend(rows)
    tables["over"] = over_table(all_rows, workings)
    return tables


def fill(page, tables):
    missing = set(tables) - {m.group(2) for m in BLOCK.finditer(page)}
    if missing:
        sys.exit(f"{PAGE}: no place for table {', '.join(sorted(missing))}")
    return BLOCK.sub(lambda m: m.group(1) + tables[m.group(2)] + m.group(3), page)


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--check", action="store_true",
                        help="change nothing; fail when the page has drifted")
    arguments = parser.parse_args()
    page = PAGE.read_text()
    filled = fill(page, make_tables())
    if not arguments.check:
        PAGE.write_text(filled)
        return 0
    if filled == page:
        print("docs/CAPACITY.md agrees with bench/capacity_slopes.json")
        return 0
    sys.stdout.writelines(difflib.unified_diff(
        page.splitlines(True), filled.splitlines(True), "page", "worked out"))
    return 1


if __name__ == "__main__":
    sys.exit(main())
