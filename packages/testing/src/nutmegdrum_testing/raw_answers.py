"""Answers that HTTP/1.1 doesn't allow, and sound ones that are unusual, for a `RawServer`.

The sound ones have the status 200 and the body `ok`.
"""

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\n"
LENGTH = b"Content-Length: 2\r\n"
BODY = b"\r\nok"

MALFORMED_FIELDS = {
    "blank in the name": b"X Odd: v",
    "blank before the colon": b"X-Odd : v",
    "tab before the colon": b"X-Odd\t: v",
    "blank before the name": b" X-Odd: v",
    "NUL in the name": b"X-\0Odd: v",
    "control byte in the name": b"X-\x01Odd: v",
    "line feed in the name": b"X-\nOdd: v",
    "carriage return in the name": b"X-\rOdd: v",
    "DEL in the name": b"X-\x7fOdd: v",
    "name beyond ASCII": b"X-\xe4dd: v",
    "delimiter in the name": b"X(Odd): v",
    "quoted name": b'"X-Odd": v',
    "no name": b": v",
    "no colon": b"X-Odd v",
    "only a blank": b" ",
    "second status line": b"HTTP/1.1 200 OK",
    "mailbox line": b"From nobody",
    "folded value": b"X-Odd: v\r\n w",
    "NUL in the value": b"X-Odd: a\0b",
    "control byte in the value": b"X-Odd: a\x0bb",
    "carriage return in the value": b"X-Odd: a\rb",
    "carriage return at the end": b"X-Odd: a\r",
    "DEL in the value": b"X-Odd: a\x7f",
}

UNUSUAL_FIELDS = {
    "every character of a name": b"!#$%&'*+-.^_`|~09azAZ: v",
    "bytes beyond ASCII in the value": b"X-Odd: " + bytes(range(0x80, 0x100)),
    "colons in the value": b"X-Odd: a:b : c",
    "no value": b"X-Odd:",
    "no white space": b"X-Odd:v",
    "white space around the value": b"X-Odd: \t v\tw \t",
    "line break without carriage return": b"X-Odd: v\nX-Even: w",
}


def with_field(line: bytes, first: bool) -> bytes:
    """Return an answer that has `line` in its head, before or after the body's length."""
    fields = line + b"\r\n" + LENGTH if first else LENGTH + line + b"\r\n"
    return HEAD + fields + BODY


BROKEN_ANSWERS = {
    f"{name}, {'first' if first else 'last'}": with_field(line, first)
    for name, line in MALFORMED_FIELDS.items()
    for first in (True, False)
}

SOUND_ANSWERS = {
    "plain": HEAD + LENGTH + BODY,
    **{name: with_field(line, True) for name, line in UNUSUAL_FIELDS.items()},
    "white space around the length": HEAD + b"Content-Length: \t2 \t\r\n" + BODY,
    "only line feeds": (HEAD + LENGTH + BODY).replace(b"\r", b""),
}
