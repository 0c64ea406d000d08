"""Public API of daemon membership and fact dissemination."""

from rattanpulley_core._internal.peers import connections
from rattanpulley_core._internal.peers import core
from rattanpulley_core._internal.peers import facts
from rattanpulley_core._internal.peers import members
from rattanpulley_core._internal.peers import messages
from rattanpulley_core._internal.peers import state

PeerCore = core.PeerCore
PeerSettings = connections.PeerSettings
PeerCounters = state.Counters

Fact = facts.Fact
FactKind = facts.FactKind
BUCKET_COUNT = facts.BUCKET_COUNT
FactTable = facts.FactTable
MergeResult = facts.MergeResult

Member = members.Member
MemberState = members.MemberState
MemberFormatError = members.MemberFormatError
PeerTable = members.PeerTable

Message = messages.Message
Hello = messages.Hello
Welcome = messages.Welcome
Heartbeat = messages.Heartbeat
Facts = messages.Facts
FactsRequest = messages.FactsRequest
TableRequest = messages.TableRequest
TableContent = messages.TableContent

Event = messages.Event
StreamOpened = messages.StreamOpened
StreamClosed = messages.StreamClosed
ConnectFailed = messages.ConnectFailed
MessageReceived = messages.MessageReceived
FactPublished = messages.FactPublished
TableAvailable = messages.TableAvailable
Leaving = messages.Leaving
TableWanted = messages.TableWanted

Action = messages.Action
OpenStream = messages.OpenStream
CloseStream = messages.CloseStream
Send = messages.Send
FactLearned = messages.FactLearned
TableReceived = messages.TableReceived
MemberChanged = messages.MemberChanged
