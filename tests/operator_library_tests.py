"""Compares the operators' library with `gooseberrymill check` and the examples with their TOML.

Usage: operator_library_tests.py SOURCE_DIRECTORY BINARY
"""

import dataclasses
import os
import re
import subprocess
import sys
import tempfile
import unittest
from typing import Dict, List, Tuple

sys.dont_write_bytecode = True
SOURCE_DIRECTORY, BINARY = sys.argv[1:3]
sys.path.insert(0, os.path.join(SOURCE_DIRECTORY, "python"))

import gooseberrymill as gm  # noqa: E402


def route(**changes: object) -> gm.Route:
    values: Dict[str, object] = {
        "name": "pay", "path": "/payouts/*", "methods": ["POST"], "work_class": gm.WorkClass.CRITICAL}
    values.update(changes)
    return gm.Route(**values)  # type: ignore[arg-type]


def service(**changes: object) -> gm.Service:
    values: Dict[str, object] = {
        "name": "bayaran", "upstreams": 12, "slots": 7, "floor_slots": 56, "routes": [route()]}
    values.update(changes)
    return gm.Service(**values)  # type: ignore[arg-type]


def one(**changes: object) -> gm.Configuration:
    return gm.Configuration(services=[service(**changes)])


def routes(*items: gm.Route) -> gm.Configuration:
    return one(routes=list(items))


def detection(**changes: object) -> gm.Configuration:
    return one(detection=gm.Detection(**changes))  # type: ignore[arg-type]


def admission(**changes: object) -> gm.Configuration:
    return one(admission=gm.Admission(**changes))  # type: ignore[arg-type]


def check_answer(**changes: object) -> gm.Configuration:
    return routes(route(check=gm.AnswerCheck(**changes)))  # type: ignore[arg-type]


def organisations(*items: gm.Organisation) -> gm.Configuration:
    return gm.Configuration(services=[service()], organisations=list(items))


GOOD: List[Tuple[str, gm.Configuration]] = [
    ("organisations", organisations(
        gm.Organisation(name="archive", keys=["first-key", "second-key"], rate=2.5, burst=10, work_class="patient"),
        gm.Organisation(name="court", keys=["third-key"]))),
    ("public route", routes(route(public=True))),
    ("plain", one()),
    ("floor at the capacity", one(floor_slots=84)),
    ("no floor", one(floor_slots=0)),
    ("single slot", one(slots=1, floor_slots=12)),
    ("whole number for a ratio", detection(slow_ratio=5)),
    ("small number", detection(false_alarms_per_upstream_year=0.0001)),
    ("weights only", admission(weights=gm.Weights(patient=7))),
    ("repeatable background", routes(route(repeatable=True, work_class=gm.WorkClass.BACKGROUND, max_body="1GiB"))),
    ("class as text", routes(route(work_class="patient"))),
    ("any method after one", routes(route(), route(name="other", methods=[]))),
    ("other method", routes(route(), route(name="other", methods=["GET"]))),
    ("exact and prefix", routes(route(path="/a/"), route(name="other", path="/a/*"))),
    ("all paths", routes(route(path="/*"))),
    ("root", routes(route(path="/"))),
    ("odd characters", routes(route(path="/a'b%20[~]/!$&()+,;=:@/*"))),
    ("deadline as long as the retention", one(retention="1h", routes=[route(deadline="1h")])),
    ("response check", check_answer(
        statuses=[200, 201], content_type="application/json", required_header="X-Signature", min_bytes="1KiB")),
    ("two services", gm.Configuration(
        name="two", services=[service(), service(name="katalog", routes=[route(path="/katalog")])])),
    ("hedging", one(retry=gm.Retry(budget_share=0, max_attempts=1, hedge=True))),
]

BAD: List[Tuple[str, gm.Configuration]] = [
    ("no service", gm.Configuration()),
    ("no route", one(routes=[])),
    ("organisation name twice", organisations(gm.Organisation(name="a"), gm.Organisation(name="a"))),
    ("shared key", organisations(
        gm.Organisation(name="a", keys=["one-key"]), gm.Organisation(name="b", keys=["two-key", "one-key"]))),
    ("key with a space", organisations(gm.Organisation(name="a", keys=["a key"]))),
    ("empty key", organisations(gm.Organisation(name="a", keys=[""]))),
    ("key twice", organisations(gm.Organisation(name="a", keys=["one-key", "one-key"]))),
    ("negative rate", organisations(gm.Organisation(name="a", rate=-1.0))),
    ("class of an organisation", organisations(gm.Organisation(name="a", work_class="urgent"))),
    ("name of the document", gm.Configuration(name="a b", services=[service()])),
    ("empty name", one(name="")),
    ("long name", one(name="x" * 65)),
    ("name starts with a mark", one(name="-x")),
    ("no upstreams", one(upstreams=0)),
    ("text for a number", one(slots="7")),
    ("fraction for a number", one(slots=7.5)),
    ("boolean for a number", one(slots=True)),
    ("negative number", one(floor_slots=-1)),
    ("floor above the capacity", one(floor_slots=85)),
    ("number for a duration", one(retention=86400)),
    ("duration without unit", one(retention="86400")),
    ("unknown unit", one(retention="1week")),
    ("duration out of range", one(retention="31d")),
    ("longer than claims are kept", one(retention="8d")),
    ("duration that overflows", one(retention="99999999999999999999s")),
    ("ratio out of range", detection(slow_ratio=1.0)),
    ("not a number", detection(failure_share=float("nan"))),
    ("infinite", detection(slow_ratio=float("inf"))),
    ("probation above its bound", detection(probation="1h", max_probation="1min")),
    ("no slot for long requests", admission(short_work_slots=7)),
    ("no slot for long requests in a single slot", one(
        slots=1, floor_slots=0, admission=gm.Admission(short_work_slots=1))),
    ("weight of zero", admission(weights=gm.Weights(background=0))),
    ("retry budget", one(retry=gm.Retry(budget_share=0.3))),
    ("number for a boolean", one(retry=gm.Retry(hedge=1))),  # type: ignore[arg-type]
    ("no attempts", one(retry=gm.Retry(max_attempts=0))),
    ("unknown class", routes(route(work_class="urgent"))),
    ("method in lower case", routes(route(methods=["post"]))),
    ("method twice", routes(route(methods=["GET", "GET"]))),
    ("relative path", routes(route(path="payouts"))),
    ("star inside a path", routes(route(path="/a*b"))),
    ("query in a path", routes(route(path="/a?b"))),
    ("quotes in a path", routes(route(path='/a"b\\c'))),
    ("status out of range", check_answer(statuses=[99])),
    ("content type", check_answer(content_type="json")),
    ("header name", check_answer(required_header="X Signature")),
    ("size without unit", check_answer(min_bytes="10")),
    ("background operation", routes(route(work_class=gm.WorkClass.BACKGROUND))),
    ("large operation", routes(route(max_body="2MiB"))),
    ("operation longer than the retention", one(retention="1h", routes=[route(deadline="2h")])),
    ("same path and method", routes(route(), route(name="other"))),
    ("method after any method", routes(route(methods=[]), route(name="other"))),
    ("any method twice", routes(route(methods=[]), route(name="other", methods=[]))),
    ("overlapping methods", routes(route(), route(name="other", methods=["GET", "POST"]))),
    ("same path in two services", gm.Configuration(services=[service(), service(name="other")])),
    ("route name twice", routes(route(), route(path="/other"))),
    ("service name twice", gm.Configuration(services=[service(), service(routes=[route(path="/other")])])),
    ("several errors", one(slots=0, retention="1s", routes=[route(path="x", deadline="0s")])),
]


def check(text: str) -> Tuple[bool, List[str]]:
    """Result and key paths of `gooseberrymill check`."""
    with tempfile.TemporaryDirectory() as directory:
        name = os.path.join(directory, "configuration.toml")
        with open(name, "w", encoding="utf-8") as file:
            file.write(text)
        run = subprocess.run([BINARY, "check", name], stderr=subprocess.PIPE, stdout=subprocess.PIPE, check=False)
    errors = run.stderr.decode().splitlines()
    assert run.returncode in (0, 1), errors
    return run.returncode == 0, [re.sub(r"^.*?\.toml(?::\d+)?: (.*?): found .*", r"\1", line) for line in errors]


class OperatorLibrary(unittest.TestCase):
    def test_good_configurations(self) -> None:
        """Guards against a configuration that one side takes and the other refuses."""
        for name, configuration in GOOD:
            with self.subTest(name):
                self.assertEqual([str(problem) for problem in configuration.validate()], [])
                self.assertEqual(check(configuration.to_toml()), (True, []))

    def test_bad_configurations(self) -> None:
        """Guards against an error that only one side sees, or that each sees at another place."""
        for name, configuration in BAD:
            with self.subTest(name):
                paths = sorted(problem.key_path for problem in configuration.validate())
                self.assertNotEqual(paths, [])
                self.assertRaises(gm.ConfigurationError, configuration.to_toml)
                is_valid, checked_paths = check(gm._print(configuration))
                self.assertFalse(is_valid)
                self.assertEqual(sorted(checked_paths), paths)

    def test_examples(self) -> None:
        """Guards against an example whose TOML is not what it prints."""
        for name in ("persatuan", "nivelaria"):
            with self.subTest(name):
                base = os.path.join(SOURCE_DIRECTORY, "examples", name)
                environment = dict(os.environ, PYTHONPATH=os.path.join(SOURCE_DIRECTORY, "python"),
                                   PYTHONDONTWRITEBYTECODE="1")
                printed = subprocess.run([sys.executable, base + ".py"], env=environment, stdout=subprocess.PIPE,
                                         check=True).stdout.decode()
                with open(base + ".toml", encoding="utf-8") as file:
                    self.assertEqual(printed, file.read())
                self.assertEqual(check(printed), (True, []))

    def test_defaults(self) -> None:
        """Guards against a default that differs: the library does not print values that it takes for defaults."""
        printed = subprocess.run([BINARY, "defaults", "configuration"], stdout=subprocess.PIPE, check=True)
        defaults: Dict[Tuple[str, str], str] = {}
        section = ""
        for line in printed.stdout.decode().splitlines():
            if line.startswith("["):
                section = line.strip("[]")
            elif " = " in line and not line.startswith("#"):
                key, value = line.split(" = ", 1)
                defaults[(section, key)] = value
        expected: Dict[Tuple[str, str], str] = {}
        for path, kind in (
                ("", gm.Configuration), ("service", gm.Service), ("service.detection", gm.Detection),
                ("service.admission", gm.Admission), ("service.admission.weights", gm.Weights),
                ("service.retry", gm.Retry), ("service.route", gm.Route), ("service.route.check", gm.AnswerCheck),
                ("organisation", gm.Organisation)):
            for attribute in dataclasses.fields(kind):
                key = attribute.metadata.get("key")
                if key and attribute.metadata["is_list"]:
                    expected[(path, key)] = "[]"
                elif key and attribute.default is not dataclasses.MISSING:
                    expected[(path, key)] = gm._value(attribute.default)
        expected[("service.admission", "shortWorkSlots")] = "1"  # None stands for it
        self.assertEqual(defaults, expected)

    def test_problems_show_no_key(self) -> None:
        """Guards against an error message that shows an organisation's key."""
        for keys in (["secret key"], ["secret-key", "secret-key"]):
            problems = organisations(gm.Organisation(name="a", keys=keys)).validate()
            self.assertNotEqual(problems, [])
            for problem in problems:
                self.assertNotIn("secret-key", str(problem))
                self.assertNotIn("secret key", str(problem))

    def test_required_keys(self) -> None:
        """Guards against a service without a declared floor."""
        self.assertRaises(TypeError, gm.Service, name="a", upstreams=1, slots=1)
        self.assertRaises(TypeError, gm.Route, name="a")


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v"])
