"""Configuration of the Persatuan Pembuat Rangka Topiari Semenanjung.

The fleet is small and orders and payouts come first, so false ejections weigh more than a fast
detection. Members who browse patterns are willing to wait. Run it to print the document:

    PYTHONPATH=python python3 examples/persatuan.py > examples/persatuan.toml
"""

from gooseberrymill import Admission, AnswerCheck, Configuration, Detection, Retry, Route, Service, Weights, WorkClass

UPSTREAMS = 12
SLOTS = 7
FLOOR_SLOTS = 8 * SLOTS
"""Ejections leave at least eight of twelve upstreams."""

CAUTIOUS = Detection(false_alarms_per_upstream_year=0.05, probation="20s", max_probation="10min")


def service(name: str, routes: list, admission: Admission) -> Service:
    """A service of the usual size."""
    return Service(
        name=name, upstreams=UPSTREAMS, slots=SLOTS, floor_slots=FLOOR_SLOTS, retention="3d", detection=CAUTIOUS,
        admission=admission, retry=Retry(max_attempts=3), routes=routes)


def configuration() -> Configuration:
    json_answer = AnswerCheck(content_type="application/json")
    katalog = service(
        "katalog",
        [
            Route(name="pattern-search", path="/katalog/search", methods=["GET"], repeatable=True,
                  work_class=WorkClass.PATIENT, deadline="30s", check=json_answer),
            Route(name="pattern-browse", path="/katalog/*", methods=["GET", "HEAD"], repeatable=True,
                  work_class=WorkClass.PATIENT, deadline="30s"),
        ],
        Admission(queue_limit=400, short_work_slots=1))
    bekalan = service(
        "bekalan",
        [
            Route(name="wire-order", path="/bekalan/orders", methods=["POST"], work_class=WorkClass.CRITICAL,
                  deadline="30s", max_body="256KiB", check=json_answer),
            Route(name="wire-order-status", path="/bekalan/orders/*", methods=["GET"], repeatable=True,
                  work_class=WorkClass.INTERACTIVE, deadline="10s", check=json_answer),
            Route(name="stock-lookup", path="/bekalan/stock/*", methods=["GET"], repeatable=True, internal=True,
                  work_class=WorkClass.BACKGROUND, deadline="5s", check=json_answer),
        ],
        Admission(weights=Weights(critical=16, background=1)))
    bayaran = service(
        "bayaran",
        [
            Route(name="commission-payout", path="/bayaran/payouts", methods=["POST"],
                  work_class=WorkClass.CRITICAL, deadline="30s", max_body="64KiB", check=json_answer),
            Route(name="payout-status", path="/bayaran/payouts/*", methods=["GET"], repeatable=True,
                  work_class=WorkClass.INTERACTIVE, deadline="10s", check=json_answer),
            Route(name="ledger-lookup", path="/bayaran/ledger/*", methods=["GET"], repeatable=True, internal=True,
                  work_class=WorkClass.BACKGROUND, deadline="5s", check=json_answer),
        ],
        Admission(weights=Weights(critical=16, background=1)))
    return Configuration(name="persatuan", services=[katalog, bekalan, bayaran])


if __name__ == "__main__":
    print(configuration().to_toml(), end="")
