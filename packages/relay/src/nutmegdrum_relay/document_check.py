"""Check of a routing document before it is sent, without any call."""

import re
from collections.abc import Callable, Iterator

from nutmegdrum.errors import UserError
from nutmegdrum.units import Size

from nutmegdrum_relay.document_diff import changes
from nutmegdrum_relay.documents import (
    InvalidDocument,
    Route,
    RouteKind,
    RoutingDocument,
    Workspace,
)
from nutmegdrum_relay.findings import Finding, Severity, sorted_findings
from nutmegdrum_relay.retry_policy import OBJECTIVES_BEFORE_RETRY, Loss, Progress, may_retry
from nutmegdrum_relay.revisions import Revision
from nutmegdrum_relay.routing_table import RoutingTable

_PATH_AT_END = re.compile(r" - at `(\$[^`]*)`$")
"""Path of the wrong value at the end of a decoder's message."""

_NEVER_IN_HOST = re.compile(r":|[^\x21-\xff]")
"""Entry VMs compare the `Host` header without its port, decoded as Latin-1."""

_NEVER_IN_PATH = re.compile(r"[?#]|[^\x21-\xff]")
"""Entry VMs compare the target before its query, decoded as Latin-1; one with `#` is refused."""

_NEVER_IN_KEY = re.compile(r"[\0\r\n]|[^\0-\xff]")
"""Keys come in a header, which is decoded as Latin-1."""


def check_source(
    decode: Callable[[bytes], RoutingDocument],
    source: bytes,
    in_force: bytes | None = None,
    entry_memory: Size | None = None,
) -> list[Finding]:
    """Return the sorted findings on a document that is to be sent.

    A document that cannot be decoded has errors only; the other rules need its decoded form.

    Parameters
    ----------
    decode : callable
        Decodes and checks a document, as the daemons do.
    in_force : bytes or None
        Source of the document in force, or None to compare with nothing.
    entry_memory : Size or None
        Bytes that an entry VM can hold for one body, or None to leave that limit unchecked.

    Raises
    ------
    UserError
        If the document in force is not valid.
    """
    try:
        document = decode(source)
    except UserError as exc:
        return sorted_findings(_errors(exc))
    findings = [*_unused(document), *_contradictions(document, entry_memory)]
    if document.version == Revision().version:
        message = "replicas have this version before their first document: it would be refused"
        findings.append(Finding(Severity.ERROR, "$.version", message))
    if in_force is not None and in_force != source:
        findings += changes(decode(in_force), document)
    return sorted_findings(findings)


def _errors(exc: UserError) -> Iterator[Finding]:
    if isinstance(exc, InvalidDocument):
        for path, expected in exc.problems:
            yield Finding(Severity.ERROR, f"$.{path}", f"expected {expected}")
        return
    match = _PATH_AT_END.search(str(exc))
    message = str(exc)[: match.start()] if match else str(exc)
    yield Finding(Severity.ERROR, match[1] if match else "$", message)


def _warning(path: str, message: str) -> Finding:
    return Finding(Severity.WARNING, path, message)


def _unused(document: RoutingDocument) -> Iterator[Finding]:
    """Return entries that no request can use."""
    table = RoutingTable(document)
    keys = [key for workspace in document.workspaces or () for key in workspace.keys]
    for index, route in enumerate(document.routes):
        path = f"$.routes[{index}]"
        yield from _unmatched(path, route, table)
        if table.needs_key(route) and not any(map(_can_be_sent, keys)):
            message = f"`{route.name}` needs a key and no workspace has one: all are refused"
            yield _warning(path, message)
        for place, target in enumerate(route.targets):
            if target.weight == 0:
                message = f"weight 0: `{route.name}` sends nothing to `{target.service}`"
                yield _warning(f"{path}.targets[{place}].weight", message)
    named = {target.service for route in document.routes for target in route.targets}
    for index, service in enumerate(document.services):
        if service.name not in named:
            yield _warning(f"$.services[{index}]", f"no route names `{service.name}`")
    for index, workspace in enumerate(document.workspaces or ()):
        yield from _unused_keys(f"$.workspaces[{index}]", workspace)


def _unmatched(path: str, route: Route, table: RoutingTable) -> Iterator[Finding]:
    if _NEVER_IN_HOST.search(route.host):
        message = f"`{route.name}` matches nothing: hosts are compared without port and spaces"
        yield _warning(f"{path}.host", message)
    if _NEVER_IN_PATH.search(route.prefix):
        message = f"`{route.name}` matches nothing: the prefix has a character no path can have"
        yield _warning(f"{path}.prefix", message)
    used = table.route(route.host, route.prefix)
    if used is not None and used is not route:
        message = f"`{route.name}` matches nothing: `{used.name}` has the same host and prefix"
        yield _warning(path, message)


def _unused_keys(path: str, workspace: Workspace) -> Iterator[Finding]:
    if not workspace.keys:
        yield _warning(f"{path}.keys", f"`{workspace.id}` has no key: no request belongs to it")
    for index, key in enumerate(workspace.keys):
        if not _can_be_sent(key):
            # Keys are secrets, so the message does not quote them.
            message = f"`{workspace.id}`: no request can carry a key that is empty, has spaces at"
            message += " an end, or has a line's end or a character that Latin-1 lacks"
            yield _warning(f"{path}.keys[{index}]", message)


def _can_be_sent(key: str) -> bool:
    return bool(key) and key == key.strip() and not _NEVER_IN_KEY.search(key)


def _contradictions(document: RoutingDocument, entry_memory: Size | None) -> Iterator[Finding]:
    """Return limits that contradict each other."""
    for index, route in enumerate(document.routes):
        for field, message in _route_contradictions(route):
            yield _warning(f"$.routes[{index}].{field}", f"`{route.name}`: {message}")
    limit = document.limits.max_body
    if entry_memory is not None and limit > entry_memory:
        message = f"bodies up to {limit} bytes; an entry VM holds {entry_memory} at most"
        yield Finding(Severity.ERROR, "$.limits.max_body", message)


def _route_contradictions(route: Route) -> Iterator[tuple[str, str]]:
    for field in ("latency_objective", "event_gap_objective"):
        objective = getattr(route, field)
        if route.timeout < objective:
            yield "timeout", f"{route.timeout} ms is below {field} ({objective} ms)"
    if route.kind is not RouteKind.STREAM:
        if route.event_gap_objective:
            yield "event_gap_objective", f"{route.kind.value} answers have no events"
        if route.resumable:
            yield "resumable", f"{route.kind.value} answers are no streams"
    if route.max_attempts == 1:
        if route.kind is RouteKind.STREAM and route.resumable:
            yield "resumable", "one attempt leaves none to resume with"
        return
    if not may_retry(route, Loss.BROKEN, Progress(1, 0, route.timeout)):
        message = (
            f"{route.max_attempts} attempts, but a request that may have run is not sent again"
        )
        yield "max_attempts", message
        return
    fitting = attempts_within_timeout(route)
    if fitting < route.max_attempts:
        message = f"{fitting} of {route.max_attempts} attempts fit {route.timeout} ms"
        yield "max_attempts", message


def attempts_within_timeout(route: Route) -> int:
    """Return how many attempts have the latency objective to themselves before the time-out.

    An idempotent attempt that gets no answer ends after `OBJECTIVES_BEFORE_RETRY` objectives. A
    stream's attempt is taken to end after one, as streams leave a lost engine at once.
    """
    objective = route.latency_objective
    if objective <= 0:
        return route.max_attempts
    step = objective * OBJECTIVES_BEFORE_RETRY if route.idempotent else objective
    fitting = 1 + max(0, route.timeout - objective) // step
    return min(route.max_attempts, fitting)
