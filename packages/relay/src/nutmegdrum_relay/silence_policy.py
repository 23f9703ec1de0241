"""Silence policy: when a stream leaves an engine that has sent nothing for a while.

A sound engine may fall silent for a second or so, and often many do together, as a link or the
fleet stalls. Moving a stream costs a resend, an attempt and, without a copy of its KV cache, a
second prefill; it gains nothing if the next engine is as silent. So a stream moves only while
another engine answers, and early only to its copy, where it goes on within an accepted pause.
"""

from enum import Enum

from nutmegdrum.units import Duration

LONG_SILENCE = Duration(1_700)
"""Silence after which an engine counts as lost; sound ones are silent for a second or so."""


class Contact(Enum):
    """Outcome of probing a silent engine; another one may have its address by then."""

    ANSWERS = "answers"
    MUTE = "mute"
    UNREACHABLE = "unreachable"
    REPLACED = "replaced"
    UNKNOWN = "unknown"


def is_lost(silence: Duration) -> bool:
    """Return whether an engine that does not answer probes counts as lost."""
    return silence >= LONG_SILENCE


def leaves(contact: Contact, silence: Duration, copy_answers: bool, others_answer: bool) -> bool:
    """Return whether a stream should leave a silent engine.

    An engine that takes connections may still be working on the stream, so that a copy is used
    before `LONG_SILENCE` only if this VM cannot reach the engine.

    Parameters
    ----------
    copy_answers : bool
        Whether the stream has begun and the engine with its copy answers a probe.
    others_answer : bool
        Whether any other engine of the service is known to answer.
    """
    if contact in (Contact.ANSWERS, Contact.UNKNOWN):
        return False
    if contact is Contact.REPLACED:
        return True
    if is_lost(silence):
        return copy_answers or others_answer
    return contact is Contact.UNREACHABLE and copy_answers
