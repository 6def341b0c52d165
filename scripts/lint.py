#!/usr/bin/env python3
"""Runs clang-tidy over all sources of the project.

A stamp for each source file that has passed is keyed by the linter's configuration, the compile
command and the content of the file and of every project header that it includes. A file is linted
again when any of these changes.
"""
import concurrent.futures
import hashlib
import json
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent


def read_dependencies(build: pathlib.Path) -> dict[str, list[str]]:
    """The files that each object was built from, as ninja recorded them."""
    text = subprocess.run(["ninja", "-C", str(build), "-t", "deps"], capture_output=True,
                          text=True, check=True).stdout
    result: dict[str, list[str]] = {}
    target = ""
    for line in text.splitlines():
        if line.startswith(" "):
            result[target].append(line.strip())
        elif ":" in line:
            target = line.split(":")[0]
            result[target] = []
    return result


def object_of(entry: dict) -> str:
    words = entry["command"].split()
    return words[words.index("-o") + 1]


def project_headers(dependencies: list[str], build: pathlib.Path) -> list[pathlib.Path]:
    paths = {(build / name).resolve() for name in dependencies}
    return sorted(p for p in paths if p.is_relative_to(ROOT) and p.suffix == ".h")


def key_of(entry: dict, dependencies: list[str], build: pathlib.Path) -> str:
    digest = hashlib.sha1((ROOT / ".clang-tidy").read_bytes())
    digest.update(entry["command"].replace(str(ROOT), "").encode())
    for path in [pathlib.Path(entry["file"]), *project_headers(dependencies, build)]:
        digest.update(str(path.relative_to(ROOT)).encode())
        digest.update(path.read_bytes())
    return digest.hexdigest()


def lint(entry: dict, stamp: pathlib.Path, build: pathlib.Path) -> str:
    """Returns the findings, or an empty text."""
    run = subprocess.run(["clang-tidy", "-p", str(build), "--quiet", entry["file"]],
                         capture_output=True, text=True, check=False)
    if run.returncode != 0:
        return run.stdout
    stamp.touch()
    return ""


def main() -> int:
    build = pathlib.Path(sys.argv[1]).resolve()
    jobs = int(sys.argv[2])
    stamps = build / "lint"
    stamps.mkdir(exist_ok=True)
    dependencies = read_dependencies(build)
    work = []
    total = 0
    for entry in json.loads((build / "compile_commands.json").read_text()):
        path = pathlib.Path(entry["file"])
        if not path.is_relative_to(ROOT):
            continue  # sources of libraries
        total += 1
        target = object_of(entry)
        stamp = stamps / key_of(entry, dependencies.get(target, []), build)
        if not stamp.exists():
            work.append((entry, stamp))
    with concurrent.futures.ThreadPoolExecutor(jobs) as pool:
        findings = [text for text in pool.map(lambda w: lint(w[0], w[1], build), work) if text]
    print("\n".join(findings) if findings
          else f"lint: no findings in {total} files, {len(work)} of them read anew")
    return 1 if findings else 0


if __name__ == "__main__":
    sys.exit(main())
