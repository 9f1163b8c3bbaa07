package event

import (
	"maps"
	"slices"

	"go.uber.org/zap/zapcore"
)

// The events. A number is never reused for a different event.
const (
	DaemonStarted        ID = 1001
	DaemonStopping       ID = 1002
	DaemonStopped        ID = 1003
	ShutdownTimedOut     ID = 1004
	SettingsReloaded     ID = 1010
	SettingsInvalid      ID = 1011
	ListenerFailed       ID = 1020
	AcceptPaused         ID = 1021
	HeadsRefused         ID = 1022
	UpstreamAnnounced    ID = 1101
	UpstreamDraining     ID = 1102
	UpstreamDeregistered ID = 1103
	UpstreamLeaseExpired ID = 1104
	UpstreamCrashed      ID = 1105
	CrashSuspectBlocked  ID = 1106

	AnnouncementOutdated ID = 1107
	AnnouncementInvalid  ID = 1108
	UpstreamLeaving      ID = 1109
	DeparturesRecalled   ID = 1110
	DepartureNotCopied   ID = 1111
	DocumentRefused      ID = 1303
	DocumentAccepted     ID = 1304
	ConfigApplied        ID = 1201
	ConfigStale          ID = 1202
	ConfigFresh          ID = 1203
	RelayChanged         ID = 1204
	DigestMismatch       ID = 1205
	EvacuationBegun      ID = 1206
	EvacuationEnded      ID = 1207
	ChangeAccepted       ID = 1301
	ChangeRefused        ID = 1302
	LogTailTruncated     ID = 1401
	LogCorrupt           ID = 1402
	StoreWriteFailed     ID = 1403
	SnapshotWritten      ID = 1404
	StoreShortage        ID = 1405
	StoreWritable        ID = 1406
	LeaderElected        ID = 1501
	LeaderSteppedDown    ID = 1502
	VoterAdded           ID = 1503
	VoterRemoved         ID = 1504
	MessageRefused       ID = 1601
	ResponseIncomplete   ID = 1701
	ActionOutcomeUnknown ID = 1702
	ConnectionReplaced   ID = 1703
	LibraryMessage       ID = 1704
	ResponseInvalid      ID = 1705
	HandlerPanicked      ID = 1706
	UpstreamOverloaded   ID = 1801
	EntryShedding        ID = 1802
	ProcessorLimit       ID = 1803
	RequestRefused       ID = 1901
	CallRefused          ID = 1902
	CallRetried          ID = 1903
	CallNotRetried       ID = 1904
	PlacedElsewhere      ID = 1905
	CallQueued           ID = 1906
	VMEjected            ID = 1907
	NestedCallFailed     ID = 1908
	DecisionsOmitted     ID = 1909
	DataCentreSilent     ID = 1910
	LimitChanged         ID = 1911
	LimitUnreadable      ID = 1912
	AcceptanceUnreadable ID = 1913
	UpstreamCold         ID = 1921
	UpstreamWarm         ID = 1922
	RampBegun            ID = 1923
	RampEnded            ID = 1924
)

var catalogue = byID([]Definition{
	{DaemonStarted, zapcore.InfoLevel, "The daemon started and accepts calls."},
	{DaemonStopping, zapcore.InfoLevel, "The daemon is shutting down: it takes no new work and waits for running calls."},
	{DaemonStopped, zapcore.InfoLevel, "The daemon stopped; no calls were running."},
	{ShutdownTimedOut, zapcore.WarnLevel, "The shutdown timeout expired while calls were still running."},
	{SettingsReloaded, zapcore.InfoLevel, "The settings file was reloaded and is in force."},
	{SettingsInvalid, zapcore.ErrorLevel, "The settings file is invalid; the settings in force were kept."},
	{ListenerFailed, zapcore.ErrorLevel, "A listener stopped with an error."},
	{AcceptPaused, zapcore.WarnLevel, "Connections can't be accepted for lack of resources; the listener waits and goes on."},
	{HeadsRefused, zapcore.WarnLevel, "Messages were refused because the headers of all of them take too much memory."},
	{UpstreamAnnounced, zapcore.InfoLevel, "The upstream on this VM announced itself."},
	{UpstreamDraining, zapcore.InfoLevel, "The upstream on this VM is draining; it gets no new calls."},
	{UpstreamDeregistered, zapcore.InfoLevel, "The upstream on this VM deregistered."},
	{UpstreamLeaseExpired, zapcore.WarnLevel, "The lease of the upstream on this VM expired; its announcement was not renewed."},
	{UpstreamCrashed, zapcore.WarnLevel, "The upstream crashed: it closed its connections while calls were running."},
	{CrashSuspectBlocked, zapcore.WarnLevel, "A request was running during two upstream crashes and is refused temporarily."},
	{AnnouncementOutdated, zapcore.InfoLevel, "An outdated announcement was ignored; a newer one had already arrived."},
	{AnnouncementInvalid, zapcore.WarnLevel, "An announcement was invalid; the previous one stays in force."},
	{DeparturesRecalled, zapcore.InfoLevel, "A relay knew of upstreams that had left this VM before the daemon started."},
	{DepartureNotCopied, zapcore.WarnLevel, "No relay has noted in time that the upstream on this VM leaves; a restart of the daemon may forget it."},
	{ConfigApplied, zapcore.InfoLevel, "A configuration revision is in force on this VM."},
	{ConfigStale, zapcore.WarnLevel, "The configuration has not been confirmed as current for too long."},
	{ConfigFresh, zapcore.InfoLevel, "The configuration is confirmed as current again."},
	{RelayChanged, zapcore.InfoLevel, "The daemon receives its configuration from another relay."},
	{DigestMismatch, zapcore.ErrorLevel, "The configuration's digest differs from the relay's; the whole configuration is fetched."},
	{EvacuationBegun, zapcore.WarnLevel, "A data centre is evacuated; the upstreams there get no new calls."},
	{EvacuationEnded, zapcore.InfoLevel, "The evacuation of a data centre has ended; the upstreams there get calls again."},
	{ChangeAccepted, zapcore.InfoLevel, "A change was accepted."},
	{ChangeRefused, zapcore.WarnLevel, "A change was refused."},
	{UpstreamLeaving, zapcore.InfoLevel, "The upstream on this VM said in a response that it leaves; it gets no new calls."},
	{DocumentRefused, zapcore.WarnLevel, "A document was refused; the configuration in force is unchanged."},
	{DocumentAccepted, zapcore.InfoLevel, "A document was accepted; it is in force, or was before."},
	{LogTailTruncated, zapcore.WarnLevel, "An incomplete record at the end of the log was truncated."},
	{LogCorrupt, zapcore.ErrorLevel, "The log is corrupt before its end; the daemon does not start."},
	{StoreWriteFailed, zapcore.ErrorLevel, "Writing to the data folder failed; nothing more is acknowledged."},
	{SnapshotWritten, zapcore.InfoLevel, "A snapshot was written and the log before it was removed."},
	{StoreShortage, zapcore.WarnLevel, "The data folder can't be written for lack of space or open files; nothing is acknowledged until a write succeeds."},
	{StoreWritable, zapcore.InfoLevel, "The data folder can be written again; this control daemon takes part again."},
	{LeaderElected, zapcore.InfoLevel, "A leader was elected among the control daemons."},
	{LeaderSteppedDown, zapcore.WarnLevel, "This control daemon is no longer the leader: it cannot reach a majority."},
	{VoterAdded, zapcore.InfoLevel, "A control daemon became a voter."},
	{VoterRemoved, zapcore.InfoLevel, "A control daemon is no longer a voter."},
	{MessageRefused, zapcore.WarnLevel, "A message from another process was refused."},
	{ResponseIncomplete, zapcore.WarnLevel, "An upstream's response was incomplete; the caller got an error."},
	{ActionOutcomeUnknown, zapcore.WarnLevel, "An action that must run at most once ended with an unknown outcome."},
	{ConnectionReplaced, zapcore.InfoLevel, "An unresponsive connection was closed and replaced."},
	{LibraryMessage, zapcore.WarnLevel, "A library reported a problem, mostly bytes on a connection that belong to no response."},
	{ResponseInvalid, zapcore.WarnLevel, "A response had an invalid status, or content that its status excludes; the caller got an error."},
	{HandlerPanicked, zapcore.ErrorLevel, "A request made its handler panic; its connection was closed."},
	{UpstreamOverloaded, zapcore.InfoLevel, "The upstream on this VM is overloaded, or takes less than its slots allow."},
	{EntryShedding, zapcore.InfoLevel, "New calls are refused at this entry because services of their call trees are overloaded."},
	{ProcessorLimit, zapcore.InfoLevel, "The processor time of this daemon became, or ceased to be, the bottleneck of its upstream."},
	{RequestRefused, zapcore.InfoLevel, "A request was refused, or failed, where it entered the fleet."},
	{CallRefused, zapcore.InfoLevel, "A call was refused, or failed, beside its upstream."},
	{CallRetried, zapcore.InfoLevel, "A failed call is sent again to another VM."},
	{CallNotRetried, zapcore.InfoLevel, "A failed call is not sent again."},
	{PlacedElsewhere, zapcore.InfoLevel, "A call was placed outside its data centre."},
	{CallQueued, zapcore.InfoLevel, "A call waited for a slot of the upstream on this VM."},
	{VMEjected, zapcore.InfoLevel, "A VM failed several calls in a row and gets none for a while."},
	{NestedCallFailed, zapcore.InfoLevel, "A call failed at its upstream after one of its nested calls had failed."},
	{DecisionsOmitted, zapcore.InfoLevel, "Lines about decisions were left out to bound the log."},
	{DataCentreSilent, zapcore.InfoLevel, "Several VMs of a data centre sent nothing; calls avoid it until one gets an answer."},
	{LimitChanged, zapcore.InfoLevel, "The upstream on this VM takes another rate of calls than before."},
	{LimitUnreadable, zapcore.WarnLevel, "The upstream on this VM named a rate that can't be read; the one before stays in force."},
	{AcceptanceUnreadable, zapcore.WarnLevel, "A daemon reported accepted shares that can't be right; they are ignored."},
	{UpstreamCold, zapcore.InfoLevel, "The upstream on this VM is cold, or may be; it gets only as many calls as it bears meanwhile."},
	{UpstreamWarm, zapcore.InfoLevel, "The upstream on this VM is warm; its calls are no longer slowed."},
	{RampBegun, zapcore.InfoLevel, "The upstream on this VM has started or recovered; its concurrency begins low."},
	{RampEnded, zapcore.InfoLevel, "The upstream on this VM bears all of its slots again."},
})

func byID(definitions []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(definitions))
	for _, d := range definitions {
		m[d.ID] = d
	}
	return m
}

// Catalogue returns all events in order of their numbers.
func Catalogue() []Definition {
	return slices.SortedFunc(maps.Values(catalogue), func(a, b Definition) int { return int(a.ID - b.ID) })
}
