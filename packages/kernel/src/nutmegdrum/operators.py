"""Client of the operators' service that finds the state leader."""

import msgspec
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_wire.gen.messages import Operators
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum.errors import UserError
from nutmegdrum.queries import Query, QueryAnswer, decode_query_answer, encode_query
from nutmegdrum.releases import NoteAccepted, NoteConflict, NoteInvalid
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import Settings

TIMEOUT_MS = 5_000
_OPERATOR = VmId("operator")

SubmitAnswer = NoteAccepted | NoteConflict | NoteInvalid


class OperatorsClient:
    """Client of the operators' service of all state replicas.

    Parameters
    ----------
    cfg : Settings
        Settings of any daemon; must contain the operators' addresses of the state replicas.
    """

    def __init__(self, cfg: Settings):
        sender = Sender(cfg.deployment, _OPERATOR, IncarnationId(""))
        self._rpc = RpcClient(sender, Operators)
        self._addresses = [p.operators for p in cfg.state_replicas if p.operators is not None]
        if not self._addresses:
            raise UserError("Expected operators' addresses - at `$.state_replicas[].operators`")

    def submit(self, command_id: str, operator: str, note: bytes) -> SubmitAnswer:
        """Submit a release note; a resend with the same command id is safe.

        Raises
        ------
        UserError
            If no replica answers or the state replicas have no quorum.
        """
        data = self._call("submit_note", command_id, operator, note)
        return msgspec.msgpack.decode(data, type=SubmitAnswer)

    def query(self, query: Query) -> QueryAnswer:
        """Return the leader's answer to `query`.

        Raises
        ------
        UserError
            As for `submit`.
        """
        return decode_query_answer(self._call("query", encode_query(query)))

    def _call(self, method: str, *args: object) -> bytes:
        why = "no state replica answers"
        for address in self._addresses:
            try:
                return self._rpc.call(address, method, *args, timeout_ms=TIMEOUT_MS)
            except PeerUnreachable:
                continue
            except v.Refusal as refusal:
                why = f"{refusal} ({refusal.verdict.value})"
                if refusal.why is not v.NOT_LEADER:
                    break
        raise UserError(f"{why}; a resend with the same command id is safe")
