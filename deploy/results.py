#!/usr/bin/env python3
"""Writes docs/platform-results.md from the journal: the newest score of each site and the newest hunts."""
import glob
import json
import os

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..")


def journal_entries():
    for path in sorted(glob.glob(os.path.join(ROOT, "journal", "*.json"))):
        with open(path) as file:
            yield json.load(file)


def newest_by_site(command):
    newest_entries = {}
    for entry in journal_entries():
        if entry["cmd"] == command and entry.get("site") and entry.get("days"):
            newest_entries[entry["site"]] = entry
    return newest_entries


def weakest_part(entry, day_name):
    for line in (entry.get("digest") or "").splitlines():
        if line.startswith(day_name + " "):
            return line.split("  ")[-1].strip().replace("|", "/")
    return "-"


def day_table(entry):
    lines = ["| day | worth | score | weakest part |", "|---|---|---|---|"]
    for day in entry["days"]:
        score = "-" if day.get("score") is None else f"{day['score']:.2f}"
        lines.append(f"| {day['name']} | {day['G']:.3f} | {score} | {weakest_part(entry, day['name'])} |")
    return lines


def main():
    lines = ["# Results on the users' platform", "", "Written by `deploy/results.py` from the journal.", ""]
    for site, entry in sorted(newest_by_site("score").items()):
        lines += [f"## {site}", "", f"Score {entry['score']}, {entry['at'][0][:10]}, commit {entry['head'][:7]}, journal entry {entry['id']}.", ""]
        lines += day_table(entry) + [""]
    lines += ["## Hunts", "", "| site | days | with a broken rule | commit | journal entry |", "|---|---|---|---|---|"]
    for entry in journal_entries():
        if entry["cmd"] == "hunt" and entry.get("days"):
            broken_days = sum(1 for day in entry["days"] if day.get("rules"))
            lines.append(f"| {entry['site']} | {len(entry['days'])} | {broken_days} | {entry['head'][:7]} | {entry['id']} |")
    with open(os.path.join(ROOT, "docs", "platform-results.md"), "w") as report:
        report.write("\n".join(lines) + "\n")


main()
