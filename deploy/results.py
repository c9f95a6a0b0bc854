#!/usr/bin/env python3
"""Writes docs/platform-results.md from the journal: the newest score of each site and the newest hunts."""
import glob
import json
import os

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")


def entries():
    for path in sorted(glob.glob(os.path.join(ROOT, "journal", "*.json"))):
        with open(path) as source:
            yield json.load(source)


def newest(command):
    found = {}
    for entry in entries():
        if entry["cmd"] == command and entry.get("site") and entry.get("days"):
            found[entry["site"]] = entry
    return found


def weakest_part(entry, name):
    for line in (entry.get("digest") or "").splitlines():
        if line.startswith(name + " "):
            return line.split("  ")[-1].strip().replace("|", "/")
    return "-"


def table(entry):
    lines = ["| day | worth | score | weakest part |", "|---|---|---|---|"]
    for day in entry["days"]:
        score = "-" if day.get("score") is None else f"{day['score']:.2f}"
        lines.append(f"| {day['name']} | {day['G']:.3f} | {score} | {weakest_part(entry, day['name'])} |")
    return lines


def main():
    out = ["# Results on the users' platform", "", "Written by `deploy/results.py` from the journal.", ""]
    for site, entry in sorted(newest("score").items()):
        out += [f"## {site}", "", f"Score {entry['score']}, {entry['at'][0][:10]}, commit {entry['head'][:7]}, journal entry {entry['id']}.", ""]
        out += table(entry) + [""]
    out += ["## Hunts", "", "| site | days | with a broken rule | commit | journal entry |", "|---|---|---|---|---|"]
    for entry in entries():
        if entry["cmd"] == "hunt" and entry.get("days"):
            broken = sum(1 for day in entry["days"] if day.get("rules"))
            out.append(f"| {entry['site']} | {len(entry['days'])} | {broken} | {entry['head'][:7]} | {entry['id']} |")
    with open(os.path.join(ROOT, "docs", "platform-results.md"), "w") as target:
        target.write("\n".join(out) + "\n")


main()
