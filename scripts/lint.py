"""Runs clang-tidy over source files, several at a time, and remembers files that were clean.

A result is kept under a hash of everything it depends on: the preprocessed source with its macros, the text of each
file of this project in it (for its comments), the configuration, the compiler's arguments and the version of
clang-tidy. A file with a finding is linted each time.
"""

import argparse
import concurrent.futures
import hashlib
import json
import os
import pathlib
import re
import shlex
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
LINE_MARKER = re.compile(rb'^# \d+ "(' + re.escape(str(ROOT)).encode() + rb'/[^"]+)"', re.MULTILINE)


def cache_directory():
    base = os.environ.get("XDG_CACHE_HOME") or pathlib.Path.home() / ".cache"
    return pathlib.Path(base) / "gooseberrymill-lint"


def compile_arguments():
    """The compiler's arguments of each source file, without its output."""
    arguments = {}
    for entry in json.loads((BUILD / "compile_commands.json").read_text()):
        words = shlex.split(entry["command"])
        start = next(i for i, word in enumerate(words) if re.search(r"(\+\+|clang|gcc)[^/]*$", word))
        words = words[start:]
        output = words.index("-o")
        del words[output : output + 2]
        arguments[entry["file"]] = words
    return arguments


def without_paths(data):
    """Makes the text independent of the folder of this checkout."""
    return data.replace(str(ROOT).encode(), b".")


class Linter:
    def __init__(self):
        self.arguments = compile_arguments()
        self.cache = cache_directory()
        self.cache.mkdir(parents=True, exist_ok=True)
        version = subprocess.run(["clang-tidy", "--version"], check=True, capture_output=True).stdout
        self.common = version + (ROOT / ".clang-tidy").read_bytes()

    def key(self, file):
        words = self.arguments.get(str(file))
        if not words:
            return None
        expanded = [word for word in words if word != "-c"] + ["-E", "-dD"]
        result = subprocess.run(expanded, cwd=BUILD, capture_output=True)
        if result.returncode:
            return None
        digest = hashlib.sha256(self.common)
        digest.update(without_paths(" ".join(words).encode()))
        digest.update(without_paths(result.stdout))
        for included in sorted(set(LINE_MARKER.findall(result.stdout))):
            path = pathlib.Path(included.decode())
            if path.is_file():
                digest.update(path.read_bytes())
        return digest.hexdigest()

    def run(self, file):
        """Returns the findings, and whether they came from the cache."""
        key = self.key(file)
        if key and (self.cache / key).exists():
            return "", 0, True
        result = subprocess.run(
            ["clang-tidy", "-p", str(BUILD), "--quiet", str(file)], stdout=subprocess.PIPE, stderr=subprocess.DEVNULL
        )
        findings = result.stdout.decode(errors="replace")
        if key and not result.returncode and not findings.strip():
            (self.cache / key).touch()
        return findings, result.returncode, False


def main():
    parser = argparse.ArgumentParser(description="Lints source files; without arguments, all that git tracks.")
    parser.add_argument("files", nargs="*")
    files = [pathlib.Path(name).resolve() for name in parser.parse_args().files]
    if not files:
        listed = subprocess.run(["git", "ls-files", "*.cpp"], cwd=ROOT, check=True, capture_output=True, text=True)
        files = [ROOT / name for name in listed.stdout.split()]
    linter = Linter()
    failed = 0
    cached = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for findings, status, is_cached in pool.map(linter.run, files):
            sys.stdout.write(findings)
            failed += bool(status)
            cached += is_cached
    print(f"linted {len(files)} files, {cached} unchanged since they were clean, {failed} with findings")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
