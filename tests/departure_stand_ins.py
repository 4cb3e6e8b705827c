"""The stand-ins of review/common with the binary under test and a store that fails.

Programs that import this are called with SOURCE_DIR BINARY as their first arguments.
"""

import os
import sys
import time

SOURCE, BINARY = sys.argv[1:3]
sys.path.insert(0, os.path.join(SOURCE, "review", "common"))
import bench  # noqa: E402


class Machine(bench.Machine):
    """A machine with the binary under test."""

    def start(self, bootstrap=True):
        path = os.path.join(self.fleet.folder, f"{self.name}.toml")
        with open(os.path.join(SOURCE, "deploy", "node.toml"), encoding="utf-8") as file:
            text = bench.render(file.read(), [self.settings(bootstrap)])
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        with open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab") as log:
            self.child = bench.subprocess.Popen([BINARY, "serve", "--settings", path], stdout=log, stderr=log)


class Store(bench.Store):
    """A store that can fail. `state`: None, "refuses" (503) or "silent" (no answer while it lasts)."""

    def __init__(self, host):
        self.state = None
        self.lost_answers = 0  # of coming writes, which are executed
        super().__init__(host)

    def call(self, method, parts, query, body):
        if self.state == "refuses":
            return 503, {}
        if self.state == "silent":
            while self.state == "silent":
                time.sleep(0.05)
            raise ConnectionError("no answer")
        answer = super().call(method, parts, query, body)
        if method != "GET" and self.lost_answers:
            self.lost_answers -= 1
            raise ConnectionError("the answer is lost")
        return answer


bench.Machine = Machine
bench.Store = Store
