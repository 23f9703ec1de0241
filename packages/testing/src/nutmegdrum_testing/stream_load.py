"""Many concurrent streams from one process, for measures; prints its results as JSON.

`--direct` reads a fake engine's own interface, for a baseline without a daemon between.
"""

import argparse
import asyncio
import re
import sys
import time
from collections.abc import Sequence

import msgspec

from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.tokens import ChainError, check_chain

_TEXT = re.compile(rb'"text": ?"([^"]+)"')
_MS_PER_S = 1000
_START_SPREAD_S = 1.0
_CHUNK_LIMIT = 1 << 22


class LoadResult(msgspec.Struct, kw_only=True):
    """What all streams of one load saw.

    Attributes
    ----------
    whole, broken, refused : int
        Streams that ended with every token once, that did not, and that were never started.
    """

    first_token_ms: list[float] = []
    gaps_ms: list[float] = []
    whole: int = 0
    broken: int = 0
    refused: int = 0
    tokens: int = 0
    elapsed_s: float = 0.0
    details: list[str] = []


class _Stream:
    def __init__(self, prompt: str):
        self.prompt = prompt
        self.tokens: list[str] = []
        self.last_s = 0.0
        self.finished = False
        self.status = 0


def _request(args: argparse.Namespace, prompt: str, name: str) -> bytes:
    call = {"model": args.model, "prompt": prompt, "max_tokens": args.tokens, "seed": 1}
    headers = ["Host: load", "Content-Type: application/json"]
    if args.direct:
        path = "/v1/generate"
        call |= {"generation": name, "attempt": 1, "version": args.version, "temperature": 1}
    else:
        path = "/v1/completions"
        call |= {"stream": True}
        headers.append(f"Authorization: Bearer {args.key}")
    body = msgspec.json.encode(call)
    headers.append(f"Content-Length: {len(body)}")
    return f"POST {path} HTTP/1.1\r\n".encode() + "\r\n".join(headers).encode() + b"\r\n\r\n" + body


async def _run_stream(args: argparse.Namespace, number: int, result: LoadResult) -> None:
    await asyncio.sleep(number * _START_SPREAD_S / args.streams)
    stream = _Stream(f"{args.name} {number}")
    host, _, port = args.addresses[number % len(args.addresses)].rpartition(":")
    sent_s = time.monotonic()
    try:
        reader, writer = await asyncio.open_connection(host, int(port), limit=_CHUNK_LIMIT)
        writer.write(_request(args, stream.prompt, stream.prompt.replace(" ", "-")))
        stream.status = int((await reader.readline()).split()[1])
        if stream.status == 200:
            await _read(reader, stream, sent_s, result)
        writer.close()
    except (OSError, IndexError, ValueError):
        pass
    _count(stream, args.tokens, result)


async def _read(
    reader: asyncio.StreamReader, stream: _Stream, sent_s: float, result: LoadResult
) -> None:
    while line := await reader.readline():
        match = _TEXT.search(line)
        if match is not None:
            now_s = time.monotonic()
            if stream.tokens:
                result.gaps_ms.append((now_s - stream.last_s) * _MS_PER_S)
            else:
                result.first_token_ms.append((now_s - sent_s) * _MS_PER_S)
            stream.last_s = now_s
            stream.tokens.append(match[1].decode())
        elif b"[DONE]" in line or b'"finish"' in line:
            stream.finished = True
            return
        elif line.startswith(b"event: error"):
            return


def _count(stream: _Stream, wanted: int, result: LoadResult) -> None:
    result.tokens += len(stream.tokens)
    if stream.status != 200:
        result.refused += 1
        result.details.append(f"status {stream.status}")
        return
    try:
        check_chain(stream.prompt, stream.tokens, wanted)
    except ChainError as exc:
        result.broken += 1
        result.details.append(str(exc))
        return
    if stream.finished:
        result.whole += 1
    else:
        result.broken += 1
        result.details.append("no end")


async def _run(args: argparse.Namespace) -> LoadResult:
    result = LoadResult()
    began = time.monotonic()
    await asyncio.gather(*(_run_stream(args, i, result) for i in range(args.streams)))
    result.elapsed_s = time.monotonic() - began
    return result


def run_load(
    processes: Processes,
    addresses: Sequence[str],
    streams: int,
    tokens: int,
    *,
    key: str = "",
    name: str = "load",
    timeout_s: float = 300.0,
) -> LoadResult:
    """Run a load in a process of its own and return its result; direct without a key."""
    options = ["--streams", str(streams), "--tokens", str(tokens), "--name", name]
    options += ["--key", key] if key else ["--direct"]
    process = processes.start_module("nutmegdrum_testing.stream_load", *options, *addresses)
    code = process.wait(timeout_s)
    if code:
        raise RuntimeError(process.output())
    return msgspec.json.decode(process.output(), type=LoadResult)


def main() -> None:
    """Run the streams and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("addresses", nargs="+")
    parser.add_argument("--streams", type=int, default=1)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--model", default="m")
    parser.add_argument("--version", default="1")
    parser.add_argument("--key", default="")
    parser.add_argument("--name", default="load")
    parser.add_argument("--direct", action="store_true")
    result = asyncio.run(_run(parser.parse_args()))
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
