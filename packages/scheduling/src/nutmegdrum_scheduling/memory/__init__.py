"""Budget of the bytes, threads and connections that a process holds for its peers."""

from nutmegdrum_scheduling.memory.accounts import Account, Evicted, Kind, Reason
from nutmegdrum_scheduling.memory.budget import MemoryBudget, OnEviction
from nutmegdrum_scheduling.memory.listeners import ListenerLimits, ProcessLimits
from nutmegdrum_scheduling.memory.plan import Plan, plan
from nutmegdrum_scheduling.memory.request_memory import RequestMemory
from nutmegdrum_scheduling.memory.threads import WaitingThreads

__all__ = [
    "Account",
    "Evicted",
    "Kind",
    "ListenerLimits",
    "MemoryBudget",
    "OnEviction",
    "Plan",
    "ProcessLimits",
    "Reason",
    "RequestMemory",
    "WaitingThreads",
    "plan",
]
