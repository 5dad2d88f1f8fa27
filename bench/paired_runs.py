"""Runs the operators' bench with several builds on the same days and seeds and computes paired differences."""
import concurrent.futures
import dataclasses
import json
import math
import os
import pathlib
import subprocess
import tempfile

# Two-sided 95% quantiles of Student's distribution, by degrees of freedom; beyond the last one, the normal distribution's.
STUDENT_95 = [12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23, 2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10,
              2.09, 2.09, 2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04]
NORMAL_95 = 1.96


@dataclasses.dataclass(frozen=True)
class Day:
    """A day of a site with its random seed."""
    site: str   # path of the site file
    name: str   # name of a standard day, or path of a day file
    seed: int

    def label(self):
        return f"{pathlib.Path(self.site).stem} {pathlib.Path(self.name).stem} {self.seed}"


@dataclasses.dataclass
class Play:
    """The bench's report of one day."""
    worth: float                 # parts minus prices; 1 is the maximum
    readings: dict               # by name: parts, prices (negative costs) and worth of classes
    broken: dict                 # number of violations by rule


class PlayFailed(Exception):
    """The bench wrote no report; the text is its last output."""


def play(bench, tree, day, why, options):
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        command = [bench, "run", day.site, day.name, "--seed", str(day.seed), "--report", str(report), "--why", why]
        done = subprocess.run(command + options, cwd=tree, capture_output=True, text=True)
        if not report.exists():
            raise PlayFailed(f"{day.label()}: {(done.stdout + done.stderr)[-400:]}")
        return read_report(json.loads(report.read_text()))


def read_report(report):
    readings = {}
    for name, weight, value in report["parts"]:
        readings[f"part: {name}"] = weight * value
    for name, _, cost in report["prices"]:
        readings[f"price: {name}"] = -cost
    for each in report["classes"]:
        readings[f"class: {each['name']}"] = each["worth"]
    return Play(report["G"], readings, dict(report["breaks"]))


def play_all(bench, trees, days, why, options, jobs):
    """Runs each day in each tree (path by name). Returns the reports by (tree's name, day)."""
    for tree in trees.values():
        subprocess.run([bench, "build"], cwd=tree, check=True, capture_output=True)
    plays = {}
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        running = {pool.submit(play, bench, trees[name], day, why, options): (name, day)
                   for day in days for name in trees}
        for ended in concurrent.futures.as_completed(running):
            plays[running[ended]] = ended.result()
    return plays


def mean_with_interval(values):
    """Mean, and half the width of its 95% interval (nan for a single value)."""
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, math.nan
    deviation = math.sqrt(sum((value - mean) ** 2 for value in values) / (len(values) - 1))
    freedom = len(values) - 1
    quantile = STUDENT_95[freedom - 1] if freedom <= len(STUDENT_95) else NORMAL_95
    return mean, quantile * deviation / math.sqrt(len(values))


def differences(plays, base, trial, days):
    """Differences of trial and base: worth of each pair, and mean with interval of each reading that differs."""
    worths = [plays[trial, day].worth - plays[base, day].worth for day in days]
    readings = {}
    for name in sorted({name for day in days for name in plays[base, day].readings}):
        pairs = [plays[trial, day].readings.get(name, 0) - plays[base, day].readings.get(name, 0) for day in days]
        if any(pairs):
            readings[name] = mean_with_interval(pairs)
    return worths, readings


def broken_rules(plays, tree, days):
    """Rules that were broken in a tree, each with the labels of its days."""
    rules = {}
    for day in days:
        for rule in plays[tree, day].broken:
            rules.setdefault(rule, []).append(day.label())
    return rules


def parse_days(site, text):
    """`quiet-1:1,2;mix:7` parsed as days of a site."""
    days = []
    for part in text.split(";"):
        name, _, seeds = part.partition(":")
        days += [Day(os.path.abspath(site), name if not name.endswith(".toml") else os.path.abspath(name), int(seed))
                 for seed in seeds.split(",")]
    return days
