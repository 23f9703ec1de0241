"""What differs between attempts at a backend server and at another entry VM."""

import random
from typing import Protocol

from nutmegdrum.permits import Permits
from nutmegdrum.units import Duration

from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.dialect import AnswerTerms, AttemptTerms, Dialect, Headers
from nutmegdrum_relay.entry_peers import PassedOnTerms, refusal_loss
from nutmegdrum_relay.links import Links
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.retry_policy import Loss, passed_on_attempts

BACKOFF_JITTER = 0.25
"""Jitter added to a backend server's backoff hint, as a fraction of the hint, so that the entry
VMs do not all resume at once."""

MAX_BACKOFF_JITTER = Duration(1_000)
"""Upper bound of that jitter; long enough to spread the requests of all entry VMs."""


class Target(Protocol):
    """Kind of process that an attempt is sent to."""

    def headers(self, pending: PendingRequest, terms: AttemptTerms) -> Headers:
        """Return the headers that an attempt adds to the caller's."""
        ...

    def servers_reached(self, pending: PendingRequest) -> int:
        """Return how many backend servers one attempt may reach."""
        ...

    def on_connect(self, backend: Backend, connected: bool) -> None:
        """Record the outcome of a new connection."""
        ...

    def on_silence(self, backend: Backend, since_ms: int) -> None:
        """Record an exchange without an answer since it was sent."""
        ...

    def refusal_loss(self, headers: Headers) -> Loss | None:
        """Return the loss if an answer with these headers is not a backend server's."""
        ...

    def on_answer(self, backend: Backend, terms: AnswerTerms) -> None:
        """Apply what an answer says of the backend server that sent it."""
        ...

    def on_rejected(self, backend: Backend) -> None:
        """Record that a request was turned away."""
        ...


class ServerTarget:
    """Target of attempts at backend servers."""

    def __init__(
        self,
        rng: random.Random,
        dialect: Dialect,
        backends: Backends,
        permits: Permits,
        links: Links,
    ):
        self._rng = rng
        self._dialect = dialect
        self._backends = backends
        self._permits = permits
        self._links = links

    def headers(self, pending: PendingRequest, terms: AttemptTerms) -> Headers:
        """Return the headers that an attempt adds to the caller's."""
        return self._dialect.attempt_headers(pending.terms, terms)

    def servers_reached(self, pending: PendingRequest) -> int:
        """Return 1."""
        return 1

    def on_connect(self, backend: Backend, connected: bool) -> None:
        """Record the outcome of a new connection."""
        self._links.on_connect(backend, connected)

    def on_silence(self, backend: Backend, since_ms: int) -> None:
        """Record an exchange without an answer since it was sent."""
        self._links.on_silence(backend, since_ms)

    def refusal_loss(self, headers: Headers) -> Loss | None:
        """Return None, since a backend server answers for itself."""
        return None

    def on_answer(self, backend: Backend, terms: AnswerTerms) -> None:
        """Apply load, limits and backoff hints of an answer."""
        self._links.on_answer(backend)
        self._backends.on_load(backend, terms.load)
        if terms.other_backend:
            return
        self._backends.limits.on_answer(backend.id, terms.limits)
        if terms.leaving:
            self._backends.on_leaving(backend)
        if terms.closed_for is not None:
            max_jitter_ms = min(terms.closed_for * BACKOFF_JITTER, MAX_BACKOFF_JITTER)
            jitter_ms = int(max_jitter_ms * self._rng.random())
            self._backends.on_backoff(backend, Duration(terms.closed_for + jitter_ms))

    def on_rejected(self, backend: Backend) -> None:
        """Record a rejection, of which the server may be able to bear only a few."""
        self._permits.on_rejected(backend.id)


class EntryVmTarget:
    """Target of requests that are passed on; the other VM keeps the records of the servers."""

    def __init__(self, dialect: Dialect):
        self._dialect = dialect

    def headers(self, pending: PendingRequest, terms: AttemptTerms) -> Headers:
        """Return the caller's headers, and the terms on which the request is passed on."""
        headers = self._dialect.caller_headers(pending.terms, terms)
        return headers + PassedOnTerms(pending.document, self.servers_reached(pending)).headers()

    def servers_reached(self, pending: PendingRequest) -> int:
        """Return the attempts that the other VM may make."""
        return passed_on_attempts(pending.route, pending.sent)

    def on_connect(self, backend: Backend, connected: bool) -> None:
        """Do nothing: the links to entry VMs say nothing about those to backend servers."""

    def on_silence(self, backend: Backend, since_ms: int) -> None:
        """Do nothing, for the same reason."""

    def refusal_loss(self, headers: Headers) -> Loss | None:
        """Return the loss if the other VM refused the request."""
        return refusal_loss(headers)

    def on_answer(self, backend: Backend, terms: AnswerTerms) -> None:
        """Do nothing: the answer's terms are those of a backend server behind the other VM."""

    def on_rejected(self, backend: Backend) -> None:
        """Do nothing: the other VM has recorded it."""
