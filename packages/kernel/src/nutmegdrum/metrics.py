"""Prometheus metrics shared by all modules."""

from prometheus_client import Counter, Gauge, Histogram

_LATENCY_BUCKETS_S = (0.005, 0.02, 0.057, 0.1, 0.25, 0.5, 1.0, 1.6, 2.0, 5.0, 10.0, 60.0)

REQUESTS = Counter("nutmegdrum_requests", "Requests by method and outcome", ["method", "outcome"])
REFUSALS = Counter("nutmegdrum_refusals", "Refusals by reason and verdict", ["reason", "verdict"])
STREAMS = Gauge("nutmegdrum_streams", "Streams that run now")
TOKENS = Counter("nutmegdrum_tokens", "Tokens that were sent to callers")
FIRST_TOKEN_S = Histogram(
    "nutmegdrum_first_token_seconds",
    "Time from arrival to the first token",
    buckets=_LATENCY_BUCKETS_S,
)
HEARTBEATS = Counter("nutmegdrum_heartbeats", "Heartbeats by outcome", ["outcome"])
VIEW_POSITION = Gauge("nutmegdrum_view_position", "Log position of the view in force")
VIEW_FRESH = Gauge("nutmegdrum_view_fresh", "1 while the freshness lease lasts, else 0")
NOTE_IN_FORCE = Gauge("nutmegdrum_note_in_force", "Number of the release note in force")
PEER_CALLS = Counter("nutmegdrum_peer_calls", "Calls to other VMs by method", ["method", "outcome"])
HOLDERS_LOST = Counter("nutmegdrum_journal_holders_lost", "Holders that did not answer in time")
JOURNAL_APPENDS = Counter("nutmegdrum_journal_appends", "Appends that holders answered")
JOURNAL_BYTES = Gauge("nutmegdrum_journal_bytes", "Memory of the copies held for other VMs")
JOURNAL_COPIES = Gauge("nutmegdrum_journal_copies", "Copies held for other VMs")
PASSED_ON = Counter(
    "nutmegdrum_calls_passed_on", "Requests passed on to another entry VM", ["outcome"]
)
ATTEMPTS = Counter("nutmegdrum_attempts", "Attempts at generations by outcome", ["outcome"])
LOSSES = Counter("nutmegdrum_losses", "Attempts that were lost, by kind", ["kind"])
SILENCES = Counter(
    "nutmegdrum_silences", "Attempts silent beyond their time-out, by outcome", ["outcome"]
)
TAKEOVERS = Counter(
    "nutmegdrum_takeovers", "Streams taken over from other VMs, by outcome", ["outcome"]
)
TOKENS_DROPPED = Counter(
    "nutmegdrum_tokens_dropped", "Tokens of older attempts, repeated ones and those after a gap"
)
RECOVERY_PREFILL_TOKENS = Counter(
    "nutmegdrum_recovery_prefill_tokens", "Generated tokens that recoveries had prefilled again"
)
RECOVERY_PREFILL_CHARS = Counter(
    "nutmegdrum_recovery_prefill_chars", "Characters of prompts that recoveries had prefilled again"
)
RESUME_S = Histogram(
    "nutmegdrum_resume_seconds",
    "Time without output after a loss, from the last token before it to the first after it",
    buckets=_LATENCY_BUCKETS_S,
)
HANDED_OVER = Counter("nutmegdrum_handed_over", "Streams that a shutdown ended for another VM")
CLAIMS = Counter("nutmegdrum_claims", "Non-idempotent calls by what came of the claim", ["outcome"])
CLAIM_ENDS_PENDING = Gauge("nutmegdrum_claim_ends_pending", "Ends of claims not committed yet")
CRASH_REPORTS = Counter("nutmegdrum_crash_reports", "Requests that a dead backend server ran")
QUARANTINED = Counter("nutmegdrum_quarantined", "Requests that were named as crashing")
RETRIES = Counter("nutmegdrum_retries", "Repeated idempotent calls, by outcome", ["outcome"])
ADMISSIONS = Counter("nutmegdrum_admissions", "Admitted requests, by way", ["way"])
