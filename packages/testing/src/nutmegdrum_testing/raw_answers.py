"""Answers that HTTP/1.1 doesn't allow, and sound ones that are unusual, for a `RawServer`.

The sound ones have the status 200 and the body `ok`.
"""

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\n"
LENGTH = b"Content-Length: 2\r\n"
BODY = b"\r\nok"


def with_field(line: bytes, first: bool, body: bytes = b"ok") -> bytes:
    """Return an answer that has `line` in its head, before or after the body's length."""
    length = b"Content-Length: %d\r\n" % len(body)
    fields = line + b"\r\n" + length if first else length + line + b"\r\n"
    return HEAD + fields + b"\r\n" + body


MALFORMED_FIELDS = {
    "blank in the name": b"X Odd: v",
    "blank before the colon": b"X-Odd : v",
    "tab before the colon": b"X-Odd\t: v",
    "blank before the name": b" X-Odd: v",
    "NUL in the name": b"X-\0Odd: v",
    "control byte in the name": b"X-\x01Odd: v",
    "line feed in the name": b"X-\nOdd: v",
    "line feed before the name": b"\nX-Odd: v",
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
    "line feed in the value": b"X-Odd: a\nX-Even: b",
    "line feed at the end": b"X-Odd: a\n",
    "DEL in the value": b"X-Odd: a\x7f",
}

MALFORMED_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 OK",
    "status 099": b"HTTP/1.1 099 OK",
    "status 600": b"HTTP/1.1 600 OK",
    "status 999": b"HTTP/1.1 999 OK",
    "two digits": b"HTTP/1.1 20 OK",
    "four digits": b"HTTP/1.1 2000 OK",
    "leading zero": b"HTTP/1.1 0200 OK",
    "signed status": b"HTTP/1.1 +200 OK",
    "separator in the status": b"HTTP/1.1 2_00 OK",
    "no number": b"HTTP/1.1 OK",
    "no status": b"HTTP/1.1",
    "reason without blank": b"HTTP/1.1 200OK",
    "no version": b"200 OK",
    "HTTP/0.9": b"HTTP/0.9 200 OK",
    "HTTP/2.0": b"HTTP/2.0 200 OK",
    "version without minor": b"HTTP/1 200 OK",
    "version in three parts": b"HTTP/1.1.1 200 OK",
    "version of two digits": b"HTTP/1.11 200 OK",
    "letter in the version": b"HTTP/1.x 200 OK",
    "lower case": b"http/1.1 200 OK",
    "other protocol": b"ICY 200 OK",
    "two blanks": b"HTTP/1.1  200 OK",
    "tab": b"HTTP/1.1\t200 OK",
    "blank first": b" HTTP/1.1 200 OK",
    "blank line first": b"\r\nHTTP/1.1 200 OK",
    "NUL in the reason": b"HTTP/1.1 200 O\0K",
    "control byte in the reason": b"HTTP/1.1 200 O\x0bK",
    "carriage return in the reason": b"HTTP/1.1 200 O\rK",
    "DEL in the reason": b"HTTP/1.1 200 O\x7fK",
}

UNUSUAL_STATUS_LINES = {
    "no reason": b"HTTP/1.1 200 ",
    "neither reason nor blank": b"HTTP/1.1 200",
    "reason beyond ASCII": b"HTTP/1.1 200 \x85 \xe4\t!",
    "HTTP/1.0": b"HTTP/1.0 200 OK",
    "later minor version": b"HTTP/1.2 200 OK",
}

CHUNKED = b"Transfer-Encoding: chunked\r\n"
CHUNKS = b"\r\n2\r\nok\r\n0\r\n\r\n"

MALFORMED_LENGTHS = {
    "negative length": HEAD + b"Content-Length: -2\r\n" + BODY,
    "signed length": HEAD + b"Content-Length: +2\r\n" + BODY,
    "separator in the length": HEAD + b"Content-Length: 0_2\r\n" + BODY,
    "hexadecimal length": HEAD + b"Content-Length: 0x2\r\n" + BODY,
    "length with a fraction": HEAD + b"Content-Length: 2.0\r\n" + BODY,
    "superscript length": HEAD + b"Content-Length: \xb2\r\n" + BODY,
    "empty length": HEAD + b"Content-Length:\r\n" + BODY,
    "huge length": HEAD + b"Content-Length: " + b"2" * 5_000 + b"\r\n" + BODY,
    "list of lengths": HEAD + b"Content-Length: 2, 3\r\n" + BODY,
    "two lengths": HEAD + LENGTH + b"Content-Length: 3\r\n" + BODY,
    "length and chunks": HEAD + LENGTH + CHUNKED + CHUNKS,
    "chunks and length": HEAD + CHUNKED + LENGTH + CHUNKS,
    "chunks in HTTP/1.0": HEAD.replace(b"/1.1", b"/1.0") + CHUNKED + CHUNKS,
    "chunks twice": HEAD + CHUNKED + CHUNKED + CHUNKS,
    "chunks twice in a list": HEAD + b"Transfer-Encoding: chunked, chunked\r\n" + CHUNKS,
    "other encoding": HEAD + b"Transfer-Encoding: gzip\r\n" + BODY,
    "other encoding and chunks": HEAD + b"Transfer-Encoding: gzip, chunked\r\n" + CHUNKS,
    "two encodings": HEAD + b"Transfer-Encoding: gzip\r\n" + CHUNKED + CHUNKS,
    "chunks and other encoding": HEAD + b"Transfer-Encoding: chunked, gzip\r\n" + CHUNKS,
    "identity": HEAD + b"Transfer-Encoding: identity\r\n" + LENGTH + BODY,
    "identity and no length": HEAD + b"Transfer-Encoding: identity\r\n" + BODY,
    "empty encoding": HEAD + b"Transfer-Encoding:\r\n" + BODY,
    "parameter of chunks": HEAD + b"Transfer-Encoding: chunked;a=b\r\n" + CHUNKS,
    "unknown encoding": HEAD + b"Transfer-Encoding: xchunked\r\n" + CHUNKS,
    "no content and a length": HEAD.replace(b"200", b"204") + LENGTH + BODY,
    "no content and chunks": HEAD.replace(b"200", b"204") + CHUNKED + CHUNKS,
}

UNUSUAL_LENGTHS = {
    "leading zeros": HEAD + b"Content-Length: 0002\r\n" + BODY,
    "white space around the length": HEAD + b"Content-Length: \t2 \t\r\n" + BODY,
    "white space around the encoding": HEAD + b"Transfer-Encoding: \t chunked \t\r\n" + CHUNKS,
    "upper case": HEAD + b"TRANSFER-ENCODING: CHUNKED\r\n" + CHUNKS,
    "end of the connection": HEAD + BODY,
}

MALFORMED_CHUNKS = {
    "negative size": b"-2\r\nok\r\n0\r\n\r\n",
    "signed size": b"+2\r\nok\r\n0\r\n\r\n",
    "prefix of the size": b"0x2\r\nok\r\n0\r\n\r\n",
    "separator in the size": b"0_2\r\nok\r\n0\r\n\r\n",
    "blank before the size": b" 2\r\nok\r\n0\r\n\r\n",
    "blank after the size": b"2 \r\nok\r\n0\r\n\r\n",
    "NUL after the size": b"2\0\r\nok\r\n0\r\n\r\n",
    "no size": b"\r\nok\r\n0\r\n\r\n",
    "no hexadecimal size": b"z\r\nok\r\n0\r\n\r\n",
    "huge size": b"2" * 5_000 + b"\r\nok\r\n0\r\n\r\n",
    "size without carriage return": b"2\nok\r\n0\r\n\r\n",
    "control byte in an extension": b"2;a=\x01\r\nok\r\n0\r\n\r\n",
    "carriage return in an extension": b"2;a\rb\r\nok\r\n0\r\n\r\n",
    "chunk longer than its size": b"1\r\nok\r\n0\r\n\r\n",
    "chunk shorter than its size": b"4\r\nok\r\n0\r\n\r\n",
    "other bytes after a chunk": b"2\r\nokxx0\r\n\r\n",
    "line feeds after a chunk": b"2\r\nok\n\n0\r\n\r\n",
    "no last chunk": b"2\r\nok\r\n",
    "last chunk cut off": b"2\r\nok\r\n0",
    "no end of the trailers": b"2\r\nok\r\n0\r\n",
    "trailer cut off": b"2\r\nok\r\n0\r\nX-Odd: v",
    "no end after a trailer": b"2\r\nok\r\n0\r\nX-Odd: v\r\n",
    "blank in a trailer's name": b"2\r\nok\r\n0\r\nX Odd: v\r\n\r\n",
    "control byte in a trailer": b"2\r\nok\r\n0\r\nX-Odd: a\x01b\r\n\r\n",
    "line feed before a trailer": b"2\r\nok\r\n0\r\n\nX-Odd: v\r\n\r\n",
    "trailer without colon": b"2\r\nok\r\n0\r\nodd\r\n\r\n",
}

UNUSUAL_CHUNKS = {
    "two chunks": b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
    "leading zeros of sizes": b"0002\r\nok\r\n000\r\n\r\n",
    "extensions": b'2 ; a = "b\t\xe4" ;c\r\nok\r\n0;d=e\r\n\r\n',
    "trailers": b"2\r\nok\r\n0\r\nX-Odd: v\r\nX-Even:\r\n\r\n",
}

EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>; rel=preload\r\n\r\n"
PLAIN = HEAD + LENGTH + BODY

MALFORMED_INTERIM_ANSWERS = {
    "only an interim answer": EARLY_HINTS,
    "interim answer cut off": EARLY_HINTS[:-2],
    "status line cut off after interim": EARLY_HINTS + b"HTTP/1.1 200 OK",
    "head cut off after interim": EARLY_HINTS + HEAD,
    "blank in an interim name": b"HTTP/1.1 103 Early Hints\r\nX Odd: v\r\n\r\n" + PLAIN,
    "blank in a name after 100": b"HTTP/1.1 100 Continue\r\nX Odd: v\r\n\r\n" + PLAIN,
    "blank in a name after interim": EARLY_HINTS + with_field(b"X Odd: v", True),
    "body of an interim answer": EARLY_HINTS + b"ok" + PLAIN,
    "interim status line": b"HTTP/1.1 103 \0\r\n\r\n" + PLAIN,
    "unasked switch of protocols": b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
    "answer after a switch": b"HTTP/1.1 101 Switching Protocols\r\n\r\n" + PLAIN,
}

UNUSUAL_INTERIM_ANSWERS = {
    "continue": b"HTTP/1.1 100 Continue\r\n\r\n" + PLAIN,
    "processing": b"HTTP/1.1 102 Processing\r\n\r\n" + PLAIN,
    "early hints": EARLY_HINTS + PLAIN,
    "several interim answers": EARLY_HINTS + b"HTTP/1.1 100 \r\n\r\n" + EARLY_HINTS * 2 + PLAIN,
    "unknown interim status": b"HTTP/1.1 199 Odd\r\nX-Odd: v\r\n\r\n" + PLAIN,
    "chunks after early hints": EARLY_HINTS + HEAD + CHUNKED + CHUNKS,
    "no length after early hints": EARLY_HINTS + HEAD + BODY,
}

UNUSUAL_FIELDS = {
    "every character of a name": b"!#$%&'*+-.^_`|~09azAZ: v",
    "bytes beyond ASCII in the value": b"X-Odd: " + bytes(range(0x80, 0x100)),
    "colons in the value": b"X-Odd: a:b : c",
    "no value": b"X-Odd:",
    "no white space": b"X-Odd:v",
    "white space around the value": b"X-Odd: \t v\tw \t",
}


def with_status_line(line: bytes, body: bytes = b"ok") -> bytes:
    """Return an answer with another status line."""
    return line + b"\r\nContent-Length: %d\r\nX-Id: q1\r\n\r\n" % len(body) + body


MALFORMED_HEADS = {
    **{
        f"{name}, {'first' if first else 'last'}": with_field(line, first)
        for name, line in MALFORMED_FIELDS.items()
        for first in (True, False)
    },
    **{name: with_status_line(line) for name, line in MALFORMED_STATUS_LINES.items()},
    **MALFORMED_LENGTHS,
    **MALFORMED_INTERIM_ANSWERS,
}

BROKEN_ANSWERS = {
    **MALFORMED_HEADS,
    **{name: HEAD + CHUNKED + b"\r\n" + body for name, body in MALFORMED_CHUNKS.items()},
}

SOUND_ANSWERS = {
    "plain": PLAIN,
    **{name: with_status_line(line) for name, line in UNUSUAL_STATUS_LINES.items()},
    **{name: with_field(line, True) for name, line in UNUSUAL_FIELDS.items()},
    **UNUSUAL_LENGTHS,
    **UNUSUAL_INTERIM_ANSWERS,
    **{name: HEAD + CHUNKED + b"\r\n" + body for name, body in UNUSUAL_CHUNKS.items()},
    "only line feeds": PLAIN.replace(b"\r", b""),
}

EMPTY_ANSWERS = {
    "no content": (204, b"HTTP/1.1 204 No Content\r\n\r\n"),
    "no content and its length": (204, b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"),
    "not modified, in chunks": (304, b"HTTP/1.1 304 Not Modified\r\n" + CHUNKED + b"\r\n"),
    "not modified, with a length": (304, b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\n"),
}
"""Statuses and sound answers that have no body, whatever their head says of its length."""
