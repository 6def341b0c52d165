#!/usr/bin/env python3
"""Checks that every relative link in the Markdown pages points to an existing file."""
import pathlib
import re
import subprocess
import sys

LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")


def main() -> int:
    pages = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard", "*.md"],
        capture_output=True, text=True, check=True).stdout.split()
    findings = []
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
