"""What clients, caches and the change log saw, in seconds of the machine's monotonic clock."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, field

SERVED, REFUSED = 200, (429, 503)


@dataclass(slots=True)
class Begun:
    """The first byte of a fetch has left a router, as the proxy saw it, whatever became of it."""

    at: float
    cache: int
    txn: str
    cls: str
    limit_ms: float
    source: int
    late: float  # seconds by which the proxy itself may have run late

    def line(self) -> str:
        """The observation as one line of JSON."""
        return json.dumps({"event": "begun", **asdict(self)})


@dataclass(slots=True)
class Fetched:
    """A whole fetch command has reached a cache."""

    at: float
    cache: int
    txn: str
    started: int  # Unix ms of the cache's own start

    def line(self) -> str:
        """The observation as one line of JSON."""
        return json.dumps({"event": "fetched", **asdict(self)})


@dataclass(slots=True)
class Answered:
    """A cache has written its answer to a fetch. `word` is the status; `born` the copy's Unix ms."""

    at: float
    cache: int
    txn: str
    word: str
    born: int

    def line(self) -> str:
        """The observation as one line of JSON."""
        return json.dumps({"event": "answered", **asdict(self)})


def observation_from(line: str) -> Begun | Fetched | Answered:
    """The observation that a line holds; raises KeyError if there is no such event."""
    table = json.loads(line)
    kinds: dict[str, type[Begun] | type[Fetched] | type[Answered]] = {
        "begun": Begun,
        "fetched": Fetched,
        "answered": Answered,
    }
    return kinds[table.pop("event")](**table)


@dataclass(slots=True)
class Asked:
    """One request of a client and what became of it. Times are 0 where something never happened."""

    txn: str
    router: str
    cls: str
    item: str
    chunk: int
    group: int
    ttl: float  # seconds
    tag: str = ""  # of the copy that the client holds
    sent_at: float = 0.0  # last byte written
    left_at: float = 0.0  # aborted or closed by the client
    answered_at: float = 0.0
    closed_at: float = 0.0  # the router ended the connection with no answer
    status: int = 0
    current: bool = False  # the answer calls the client's copy current
    answer_tag: str = ""
    body: bytes = b""
    answers: int = 0
    unreadable: str = ""


@dataclass(slots=True)
class Told:
    """The change log wrote an event to a router."""

    at: float
    router: str
    node: int = 0  # of a change of the list
    state: int = 0
    started: int = 0
    item: str = ""  # of a purge
    group: int = -1
    purged_unix_ms: int = 0


@dataclass(slots=True)
class RouterLife:
    """One life of a router process; times are 0 where something never happened."""

    router: str
    started_at: float
    ready_at: float = 0.0
    term_at: float = 0.0
    killed_at: float = 0.0
    ended_at: float = 0.0
    exit_code: int | None = None
    log: str = ""


@dataclass(slots=True)
class Observations:
    """All that was seen in one run."""

    asked: list[Asked] = field(default_factory=list)
    begun: list[Begun] = field(default_factory=list)
    fetched: list[Fetched] = field(default_factory=list)
    answered: list[Answered] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)
    lives: list[RouterLife] = field(default_factory=list)
    not_following: list[str] = field(default_factory=list)  # routers behind their change log at the end
    lateness: float = 0.0  # the most by which the harness itself ran late, in seconds

    def add(self, found: Begun | Fetched | Answered) -> None:
        """Takes in what a process has reported."""
        if isinstance(found, Begun):
            self.begun.append(found)
        elif isinstance(found, Fetched):
            self.fetched.append(found)
        else:
            self.answered.append(found)
