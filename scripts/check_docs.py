#!/usr/bin/env python3
"""Checks that every relative link in the Markdown pages points to an existing file."""
import pathlib
import re
import subprocess
import sys

LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")


EVENT = re.compile(r'LogLevel::\w+,\s*"([a-z-]+)"|\? "([a-z]+-[a-z-]+)" : "([a-z]+-[a-z-]+)",\s*isThere')
EVENT_SOURCES = ["src/evacuation", "src/fleet", "src/scheduling", "src/metrics", "platform"]


def check_events() -> list[str]:
    """Compares the events of the code with the table of docs/logs.md."""
    in_code = set()
    for folder in EVENT_SOURCES:
        for path in pathlib.Path(folder).glob("*.cpp"):
            for match in EVENT.finditer(path.read_text()):
                in_code.update(name for name in match.groups() if name)
    rows = [line.split("|")[1] for line in pathlib.Path("docs/logs.md").read_text().splitlines()
            if line.startswith("| `")]
    on_page = {name for row in rows for name in re.findall(r"`([a-z-]+)`", row)}
    of_adapters = {"log-lines-suppressed", "log-lines-dropped", "libevent"}
    findings = [f"docs/logs.md: no row for the event {name}" for name in in_code - on_page]
    return findings + [f"docs/logs.md: no code writes the event {name}"
                       for name in on_page - in_code - of_adapters]


def main() -> int:
    pages = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.md"],
        capture_output=True, text=True, check=True).stdout.split()
    findings = check_events()
    for page in pages:
        path = pathlib.Path(page)
        if not path.exists():
            continue
        for number, line in enumerate(path.read_text().splitlines(), 1):
            for target in LINK.findall(line):
                if "://" not in target and not (path.parent / target).exists():
                    findings.append(f"{page}:{number}: link to missing file {target}")
    print("\n".join(findings) if findings else f"docs: {len(pages)} pages, no broken link")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
