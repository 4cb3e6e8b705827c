"""Configuration of the calibration hosting of Nivelaria Software S.L.

Technicians wait at the bench, so the waiting time of short requests weighs most: slots are kept for
short requests, and reads may be hedged in their region. Run it to print the document:

    PYTHONPATH=python python3 examples/nivelaria.py > examples/nivelaria.toml
"""

from gooseberrymill import Admission, AnswerCheck, Configuration, Retry, Route, Service, Weights, WorkClass

UPSTREAMS = 12
SLOTS = 4
FLOOR_SLOTS = 8 * SLOTS
"""Ejections leave at least eight of twelve upstreams."""

SHORT_FIRST = Admission(
    queue_limit=100, short_work_slots=2, long_work_ratio=5.0, weights=Weights(critical=8, interactive=8, patient=2))


def service(name: str, routes: list) -> Service:
    """A service of the usual size."""
    return Service(
        name=name, upstreams=UPSTREAMS, slots=SLOTS, floor_slots=FLOOR_SLOTS, retention="3d", admission=SHORT_FIRST,
        retry=Retry(max_attempts=2, hedge=True), routes=routes)


def configuration() -> Configuration:
    json_answer = AnswerCheck(content_type="application/json")
    archivo = service("archivo", [
        Route(name="certificate-lookup", path="/archivo/certificates/*", methods=["GET", "HEAD"], repeatable=True,
              work_class=WorkClass.INTERACTIVE, deadline="5s"),
        Route(name="instrument-history", path="/archivo/instruments/*", methods=["GET"], repeatable=True,
              internal=True, work_class=WorkClass.BACKGROUND, deadline="1min", check=json_answer),
    ])
    banco = service("banco", [
        Route(name="bench-record", path="/banco/results", methods=["POST"], work_class=WorkClass.CRITICAL,
              deadline="20s", max_body="512KiB", check=json_answer),
        Route(name="bench-record-lookup", path="/banco/results/*", methods=["GET"], repeatable=True,
              work_class=WorkClass.INTERACTIVE, deadline="5s", check=json_answer),
        Route(name="reference-vials", path="/banco/reference/*", methods=["GET"], repeatable=True, internal=True,
              work_class=WorkClass.BACKGROUND, deadline="30s", check=json_answer),
    ])
    sello = service("sello", [
        Route(name="certificate-issue", path="/sello/certificates", methods=["POST"], work_class=WorkClass.CRITICAL,
              deadline="30s", max_body="256KiB"),
        Route(name="certificate-status", path="/sello/certificates/*", methods=["GET"], repeatable=True,
              work_class=WorkClass.INTERACTIVE, deadline="5s", check=json_answer),
    ])
    return Configuration(name="nivelaria", services=[archivo, banco, sello])


if __name__ == "__main__":
    print(configuration().to_toml(), end="")
