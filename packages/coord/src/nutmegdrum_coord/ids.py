"""Identifier types, one for each kind, so that a type checker finds mix-ups."""

from typing import NewType

DeploymentId = NewType("DeploymentId", str)
VmId = NewType("VmId", str)
DataCentre = NewType("DataCentre", str)
Region = NewType("Region", str)
WorkspaceId = NewType("WorkspaceId", str)
BackendId = NewType("BackendId", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
AdapterName = NewType("AdapterName", str)
RouteName = NewType("RouteName", str)
GenerationId = NewType("GenerationId", str)
IdempotencyKey = NewType("IdempotencyKey", str)
CommandId = NewType("CommandId", str)
OrderId = NewType("OrderId", str)
Fingerprint = NewType("Fingerprint", str)
PromptPart = NewType("PromptPart", str)

IncarnationId = NewType("IncarnationId", str)
"""Identity of one data folder, or of one start of a VM without a disk."""

NoteNumber = NewType("NoteNumber", int)
Term = NewType("Term", int)
LogPosition = NewType("LogPosition", int)
Epoch = NewType("Epoch", int)
FencingNumber = NewType("FencingNumber", int)
