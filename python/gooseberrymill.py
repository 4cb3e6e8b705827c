"""Builds gooseberrymill configurations.

Declare services and routes with the classes below, then print the document:

    import gooseberrymill as gm

    configuration = gm.Configuration(services=[
        gm.Service(
            name="katalog", upstreams=12, slots=7, floor_slots=56,
            routes=[gm.Route(name="browse", path="/katalog/*", methods=["GET"], repeatable=True)],
        ),
    ])
    print(configuration.to_toml(), end="")

to_toml() refuses a configuration with errors. `gooseberrymill check FILE` applies the same rules to the
printed text. docs/CONFIGURATION.md describes every key. Only the standard library is needed; Python 3.9
or later.
"""

import enum
import math
import re
from dataclasses import MISSING, dataclass, field, fields
from typing import Any, Callable, Dict, List, Optional, Set, Tuple

__all__ = [
    "Admission", "AnswerCheck", "Configuration", "ConfigurationError", "Detection", "Organisation", "Problem", "Retry",
    "Route", "Service", "Weights", "WorkClass",
]

KIB = 1 << 10
MIB = 1 << 20
GIB = 1 << 30

_MICROSECONDS = {"us": 1, "ms": 10**3, "s": 10**6, "min": 60 * 10**6, "h": 3600 * 10**6, "d": 86400 * 10**6}
_BYTES = {"B": 1, "KiB": KIB, "MiB": MIB, "GiB": GIB}
_MAX_NUMBER = 2**63 - 1
_MAX_FILE_BYTES = 900_000
_MAX_NON_REPEATABLE_BODY = MIB


class WorkClass(str, enum.Enum):
    """Class of work of a route; decides the order when slots are short."""

    CRITICAL = "critical"
    INTERACTIVE = "interactive"
    PATIENT = "patient"
    BACKGROUND = "background"


@dataclass(frozen=True)
class Problem:
    """One error of a configuration."""

    key_path: str
    """Place, such as ``service[0].route[2].path``."""
    found: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.key_path}: found {self.found}; allowed: {self.allowed}"


class ConfigurationError(ValueError):
    """A configuration with errors; ``problems`` lists all of them."""

    def __init__(self, problems: List[Problem]) -> None:
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


# ---------------------------------------------------------------------------------------------------
# Rules for single values. Each returns None for a valid value, else what is allowed.

Rule = Callable[[Any], Optional[str]]


def _text(pattern: str, limit: int, allowed: str) -> Rule:
    compiled = re.compile(pattern)

    def check(value: Any) -> Optional[str]:
        is_valid = isinstance(value, str) and len(value) <= limit and compiled.fullmatch(value) is not None
        return None if is_valid else allowed

    return check


def _integer(low: int, high: int) -> Rule:
    def check(value: Any) -> Optional[str]:
        is_valid = isinstance(value, int) and not isinstance(value, bool) and low <= value <= high
        return None if is_valid else f"an integer from {low} to {high}"

    return check


def _number(low: float, high: float) -> Rule:
    def check(value: Any) -> Optional[str]:
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        is_valid = is_number and math.isfinite(value) and low <= value <= high
        return None if is_valid else f"a number from {low} to {high}"

    return check


def _flag(value: Any) -> Optional[str]:
    return None if isinstance(value, bool) else "true or false"


def _parse_with_unit(value: Any, units: Dict[str, int]) -> Optional[int]:
    match = re.fullmatch(r"([0-9]+)([A-Za-z]+)", value) if isinstance(value, str) else None
    if match is None or match.group(2) not in units:
        return None
    number = int(match.group(1)) * units[match.group(2)]
    return number if number <= _MAX_NUMBER else None


def _with_unit(units: Dict[str, int], low: str, high: str, kind: str) -> Rule:
    lowest = _parse_with_unit(low, units)
    highest = _parse_with_unit(high, units)
    assert lowest is not None and highest is not None

    def check(value: Any) -> Optional[str]:
        number = _parse_with_unit(value, units)
        if number is not None and lowest <= number <= highest:
            return None
        return f"a {kind} from {low} to {high}, with a unit {', '.join(units)}"

    return check


def _duration(low: str, high: str) -> Rule:
    return _with_unit(_MICROSECONDS, low, high, "duration")


def _size(low: str, high: str) -> Rule:
    return _with_unit(_BYTES, low, high, "size")


def _choice(value: Any) -> Optional[str]:
    names = [member.value for member in WorkClass]
    return None if isinstance(value, str) and value in names else ", ".join(names)


_NAME = _text(r"[A-Za-z0-9][A-Za-z0-9._-]*", 64, "a name of 1 to 64 letters, digits, '.', '_' or '-'")
_METHOD = _text(r"[A-Z]+", 16, "an HTTP method of 1 to 16 upper-case letters")
_PATH = _text(
    r"/|/[!$-)+-;=@-\[\]-~]*(/\*)?|/\*", 512,
    '"/exact" or "/prefix/*", printable ASCII without spaces, at most 512 characters')
_HOST = _text(r"[a-z0-9.-]*", 253, 'a host name in lower case without a port, or "" for any')
_HEADER = _text(r"[A-Za-z0-9!#$%&'*+.^_`|~-]*", 64, 'a header name of at most 64 characters, or "" for none')
_CONTENT_TYPE = _text(
    r"|[!#-.0-\[\]-~]+/[!#-\[\]-~]+", 128, 'a media type such as "application/json", or "" for any')
_STATUS = _integer(100, 599)
_ORGANISATION_KEY = _text(r"[!-~]+", 256, "a text of 1 to 256 printable ASCII characters without spaces")

_MAX_LIST = 32
_MAX_UPSTREAMS = 100_000
_MAX_SLOTS = 10_000
_MAX_TABLES = 4096
_MAX_ORGANISATIONS = 200_000


def _choice_or_empty(value: Any) -> Optional[str]:
    return None if value == "" else _choice(value)


def _optional(rule: Rule) -> Rule:
    return lambda value: None if value is None else rule(value)


def _key(
        toml_name: str, rule: Rule, default: Any = MISSING, is_list: bool = False, is_secret: bool = False) -> Any:
    """A dataclass field that is one TOML key; required without a default. Problems don't show secrets."""
    metadata = {"key": toml_name, "rule": rule, "is_list": is_list, "is_secret": is_secret}
    if is_list:
        return field(default_factory=list, metadata=metadata)
    return field(default=default, metadata=metadata)


def _table(toml_name: str, factory: Callable[[], Any]) -> Any:
    """A dataclass field that is one TOML table."""
    return field(default_factory=factory, metadata={"table": toml_name})


def _tables(toml_name: str, limit: int = _MAX_TABLES) -> Any:
    """A dataclass field that is an array of TOML tables."""
    return field(default_factory=list, metadata={"tables": toml_name, "limit": limit})


# ---------------------------------------------------------------------------------------------------
# The configuration


@dataclass
class Detection:
    """How strictly an upstream is judged."""

    false_alarms_per_upstream_year: float = _key("falseAlarmsPerUpstreamYear", _number(0.0001, 1000), 0.1)
    slow_ratio: float = _key("slowRatio", _number(1.5, 100), 5.0)
    failure_share: float = _key("failureShare", _number(0.01, 1), 0.2)
    probation: str = _key("probation", _duration("1s", "1d"), "30s")
    max_probation: str = _key("maxProbation", _duration("1s", "7d"), "30min")
    ramp: str = _key("ramp", _duration("0s", "1h"), "30s")


@dataclass
class Weights:
    """Shares of the slots by class of work when slots are short."""

    critical: int = _key("critical", _integer(1, 1000), 8)
    interactive: int = _key("interactive", _integer(1, 1000), 4)
    patient: int = _key("patient", _integer(1, 1000), 2)
    background: int = _key("background", _integer(1, 1000), 1)


@dataclass
class Admission:
    """Queue and slots of one upstream."""

    queue_limit: int = _key("queueLimit", _integer(1, 100_000), 200)
    short_work_slots: Optional[int] = _key("shortWorkSlots", _optional(_integer(0, _MAX_SLOTS)), None)
    """Slots that long requests may not take. None: 1, or 0 for a service with one slot."""
    long_work_ratio: float = _key("longWorkRatio", _number(1.1, 1000), 10.0)
    weights: Weights = _table("weights", Weights)


@dataclass
class Retry:
    """Bounds of retries and hedges."""

    budget_share: float = _key("budgetShare", _number(0, 0.2), 0.1)
    max_attempts: int = _key("maxAttempts", _integer(1, 10), 3)
    hedge: bool = _key("hedge", _flag, False)


@dataclass
class AnswerCheck:
    """What a good response of a route must have; anything else counts as a wrong response."""

    statuses: List[int] = _key("statuses", _STATUS, is_list=True)
    content_type: str = _key("contentType", _CONTENT_TYPE, "")
    required_header: str = _key("requiredHeader", _HEADER, "")
    min_bytes: str = _key("minBytes", _size("0B", "1GiB"), "0B")


@dataclass
class WeightedService:
    """A share of the requests of a route that several services serve."""

    service: str = _key("service", _NAME)
    weight: int = _key("weight", _integer(1, 1_000_000))


@dataclass
class Route:
    """Requests of one path, or of all paths with one prefix.

    A route is not repeatable unless it says so: orders, payouts and the like run at most once.
    """

    name: str = _key("name", _NAME)
    path: str = _key("path", _PATH)
    methods: List[str] = _key("methods", _METHOD, is_list=True)
    repeatable: bool = _key("repeatable", _flag, False)
    host: str = _key("host", _HOST, "")
    max_attempts: int = _key("maxAttempts", _integer(0, 10), 0)
    internal: bool = _key("internal", _flag, False)
    public: bool = _key("public", _flag, False)
    """Whether callers need no key although organisations are declared."""
    work_class: WorkClass = _key("class", _choice, WorkClass.INTERACTIVE)
    deadline: str = _key("deadline", _duration("1ms", "1d"), "10s")
    max_body: str = _key("maxBodyBytes", _size("0B", "1GiB"), "1MiB")
    check: AnswerCheck = _table("check", AnswerCheck)
    split: List[WeightedService] = _tables("split")


@dataclass
class Service:
    """A service, the capacity of its upstreams and the floor that ejections must leave."""

    name: str = _key("name", _NAME)
    upstreams: int = _key("upstreams", _integer(1, _MAX_UPSTREAMS))
    slots: int = _key("slots", _integer(1, _MAX_SLOTS))
    floor_slots: int = _key("floorSlots", _integer(0, _MAX_UPSTREAMS * _MAX_SLOTS))
    retention: str = _key("retention", _duration("1min", "7d"), "1d")
    detection: Detection = _table("detection", Detection)
    admission: Admission = _table("admission", Admission)
    retry: Retry = _table("retry", Retry)
    routes: List[Route] = _tables("route")


@dataclass
class Organisation:
    """A customer of the fleet, whose callers present one of its keys."""

    name: str = _key("name", _NAME)
    keys: List[str] = _key("keys", _ORGANISATION_KEY, is_list=True, is_secret=True)
    rate: float = _key("rate", _number(0, 1e9), 0.0)
    """Requests a second over the whole fleet; 0: no limit."""
    burst: float = _key("burst", _number(0, 1e9), 0.0)
    work_class: str = _key("class", _choice_or_empty, "")
    """Class of work that precedes that of the route; empty: that of the route."""


@dataclass
class Configuration:
    """One document, applied as a whole."""

    name: str = _key("name", _NAME, "main")
    services: List[Service] = _tables("service")
    organisations: List[Organisation] = _tables("organisation", _MAX_ORGANISATIONS)

    def validate(self) -> List[Problem]:
        """All errors, by the rules of ``gooseberrymill check``. Empty when there are none."""
        problems: List[Problem] = []
        _check_values(self, "", problems)
        _CrossChecker(problems).check(self)
        size = 0 if problems else len(_print(self).encode())
        if size > _MAX_FILE_BYTES:
            problems.append(Problem("", f"{size} bytes", f"at most {_MAX_FILE_BYTES} bytes"))
        return problems

    def to_toml(self) -> str:
        """The document as TOML. Raises ConfigurationError when it has errors."""
        problems = self.validate()
        if problems:
            raise ConfigurationError(problems)
        return _print(self)


# ---------------------------------------------------------------------------------------------------
# Validation


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def _check_values(item: Any, path: str, problems: List[Problem]) -> None:
    for attribute in fields(item):
        value = getattr(item, attribute.name)
        metadata = attribute.metadata
        if "table" in metadata:
            _check_values(value, _join(path, metadata["table"]), problems)
        elif "tables" in metadata:
            key_path = _join(path, metadata["tables"])
            if len(value) > metadata["limit"]:
                problems.append(Problem(key_path, f"{len(value)} elements", f"at most {metadata['limit']}"))
            for index, element in enumerate(value):
                _check_values(element, f"{key_path}[{index}]", problems)
        elif metadata["is_list"]:
            _check_list(value, _join(path, metadata["key"]), metadata, problems)
        else:
            allowed = metadata["rule"](value)
            if allowed is not None:
                problems.append(Problem(_join(path, metadata["key"]), repr(value), allowed))


def _check_list(value: Any, key_path: str, metadata: Any, problems: List[Problem]) -> None:
    def shown(item: Any) -> str:
        return "a secret" if metadata["is_secret"] else repr(item)

    if not isinstance(value, list) or len(value) > _MAX_LIST:
        problems.append(Problem(key_path, shown(value), f"a list of at most {_MAX_LIST} elements"))
        return
    for index, element in enumerate(value):
        allowed = metadata["rule"](element)
        if allowed is not None:
            problems.append(Problem(f"{key_path}[{index}]", shown(element), allowed))
        elif isinstance(element, str) and element in value[:index]:
            problems.append(Problem(f"{key_path}[{index}]", f"{shown(element)} twice", "each element once"))


class _CrossChecker:
    """Rules over several keys. A rule is skipped when one of its keys has an error already."""

    def __init__(self, problems: List[Problem]) -> None:
        self._problems = problems
        self._rejected = [problem.key_path for problem in problems]
        self._owners: Dict[str, List[Tuple[str, str]]] = {}

    def _is_usable(self, path: str, *keys: str) -> bool:
        prefixes = [f"{path}.{key}" for key in keys]
        return not any(r == p or r.startswith((p + ".", p + "[")) for r in self._rejected for p in prefixes)

    def _report(self, key_path: str, found: str, allowed: str) -> None:
        self._problems.append(Problem(key_path, found, allowed))

    def check(self, configuration: Configuration) -> None:
        if not configuration.services:
            self._report("service", "no service", "at least one service")
        names: Set[str] = set()
        for index, service in enumerate(configuration.services):
            path = f"service[{index}]"
            self._check_name(service.name, path, names)
            self._check_service(service, path)
        self._check_organisations(configuration.organisations)

    def _check_organisations(self, organisations: List[Organisation]) -> None:
        names: Set[str] = set()
        keys: Set[str] = set()
        for index, organisation in enumerate(organisations):
            path = f"organisation[{index}]"
            self._check_name(organisation.name, path, names)
            if not self._is_usable(path, "keys"):
                continue
            if not keys.isdisjoint(organisation.keys):
                self._report(f"{path}.keys", "a key a second time", "keys that no other organisation has")
            keys.update(organisation.keys)

    def _check_name(self, name: str, path: str, names: Set[str]) -> None:
        if not self._is_usable(path, "name"):
            return
        if name in names:
            self._report(f"{path}.name", f"{name!r} a second time", "a unique name")
        names.add(name)

    def _check_service(self, service: Service, path: str) -> None:
        if self._is_usable(path, "upstreams", "slots", "floorSlots"):
            capacity = service.upstreams * service.slots
            if service.floor_slots > capacity:
                self._report(f"{path}.floorSlots", str(service.floor_slots), f"at most the capacity of {capacity}")
        if self._is_usable(path, "slots", "admission.shortWorkSlots"):
            if (service.admission.short_work_slots or 0) >= service.slots:
                self._report(f"{path}.admission.shortWorkSlots", str(service.admission.short_work_slots),
                             f"fewer than slots, which is {service.slots}")
        detection = service.detection
        if self._is_usable(path, "detection.probation", "detection.maxProbation"):
            if _microseconds(detection.probation) > _microseconds(detection.max_probation):
                self._report(f"{path}.detection.maxProbation", detection.max_probation,
                             f"at least the probation of {detection.probation}")
        if not service.routes:
            self._report(f"{path}.route", "no route", "at least one route")
        names: Set[str] = set()
        for index, route in enumerate(service.routes):
            route_path = f"{path}.route[{index}]"
            self._check_name(route.name, route_path, names)
            self._check_route(service, route, path, route_path)

    def _check_route(self, service: Service, route: Route, service_path: str, path: str) -> None:
        if self._is_usable(path, "path", "methods"):
            self._check_reachable(route, path)
        if not self._is_usable(path, "repeatable") or route.repeatable:
            return
        if self._is_usable(path, "class") and WorkClass(route.work_class) is WorkClass.BACKGROUND:
            self._report(f"{path}.class", "background on a route that is not repeatable",
                         "critical, interactive or patient")
        if self._is_usable(path, "maxBodyBytes"):
            if (_parse_with_unit(route.max_body, _BYTES) or 0) > _MAX_NON_REPEATABLE_BODY:
                self._report(f"{path}.maxBodyBytes", f"{route.max_body} on a route that is not repeatable",
                             "at most 1MiB, because the request is held whole before it runs")
        if self._is_usable(path, "deadline") and self._is_usable(service_path, "retention"):
            if _microseconds(route.deadline) > _microseconds(service.retention):
                self._report(f"{path}.deadline", f"{route.deadline} on a route that is not repeatable",
                             f"at most the retention of {service.retention}")

    def _check_reachable(self, route: Route, path: str) -> None:
        owners = self._owners.setdefault(route.path, [])
        methods = route.methods or [""]
        for method in methods:
            owner = next((owner for taken, owner in owners if taken in ("", method)), None)
            if owner is not None:
                self._report(f"{path}.{'methods' if method else 'path'}",
                             f"{method or 'any method'} on {route.path}, which {owner} already takes",
                             "a path and method that no earlier route has")
        owners.extend((method, path) for method in methods)


def _microseconds(text: str) -> int:
    return _parse_with_unit(text, _MICROSECONDS) or 0


# ---------------------------------------------------------------------------------------------------
# Printing


def _quote(text: str) -> str:
    escapes = {'"': '\\"', "\\": "\\\\"}
    return '"' + "".join(
        escapes.get(c, c if c >= " " and c != "\x7f" else f"\\u{ord(c):04x}") for c in text) + '"'


def _value(value: Any) -> str:
    if isinstance(value, enum.Enum):
        return _value(value.value)
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return _quote(value)
    if isinstance(value, list):
        return "[" + ", ".join(_value(element) for element in value) + "]"
    return repr(value)


def _print_table(item: Any, path: str, lines: List[str]) -> None:
    """Prints the values first, because TOML takes keys after a table for keys of that table."""
    for attribute in fields(item):
        metadata = attribute.metadata
        if "key" not in metadata:
            continue
        value = getattr(item, attribute.name)
        is_default = not metadata["is_list"] and value == attribute.default and type(value) is type(attribute.default)
        if not is_default and value != []:
            lines.append(f"{metadata['key']} = {_value(value)}")
    for attribute in fields(item):
        value = getattr(item, attribute.name)
        if "table" in attribute.metadata:
            table_path = _join(path, attribute.metadata["table"])
            inner: List[str] = []
            _print_table(value, table_path, inner)
            if inner:
                lines.extend(["", f"[{table_path}]"] + inner)
        elif "tables" in attribute.metadata:
            table_path = _join(path, attribute.metadata["tables"])
            for element in value:
                lines.extend(["", f"[[{table_path}]]"])
                _print_table(element, table_path, lines)


def _print(configuration: Configuration) -> str:
    lines = [f"name = {_value(configuration.name)}"]
    for attribute in fields(configuration):
        if "tables" in attribute.metadata:
            name = attribute.metadata["tables"]
            for item in getattr(configuration, attribute.name):
                lines.extend(["", f"[[{name}]]"])
                _print_table(item, name, lines)
    return "\n".join(lines) + "\n"
