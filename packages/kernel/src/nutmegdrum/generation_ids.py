"""Unguessable generation ids, which name the VMs that hold the stream's copies."""

import re
from collections.abc import Iterable, Sequence
from random import Random

import xxhash
from nutmegdrum_coord.ids import GenerationId, VmId

_RANDOM_BITS = 128
_ID = re.compile(r"[0-9a-f]{32}(-[0-9a-f]{8})*")


def make_generation_id(rng: Random, holders: Iterable[VmId]) -> GenerationId:
    """Return a new id that names `holders`.

    Parameters
    ----------
    rng : Random
        Random source of 128 bits; `random.SystemRandom` outside of tests, so that ids cannot be
        guessed.
    holders : iterable of VmId
        VMs that will hold copies of the stream.
    """
    secret = f"{rng.getrandbits(_RANDOM_BITS):032x}"
    return GenerationId("-".join([secret, *map(_tag, holders)]))


def is_generation_id(text: str) -> bool:
    """Return whether `text` has the format of a generation id."""
    return _ID.fullmatch(text) is not None


def named_holders(generation: GenerationId, vms: Sequence[VmId]) -> list[VmId]:
    """Return the VMs of `vms` that `generation` names, in the order of the id."""
    by_tag = {_tag(vm): vm for vm in vms}
    tags = generation.split("-")[1:]
    return [by_tag[tag] for tag in tags if tag in by_tag]


def _tag(vm: VmId) -> str:
    return xxhash.xxh32_hexdigest(vm.encode())
