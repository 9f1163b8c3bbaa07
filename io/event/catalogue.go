package event

import (
	"maps"
	"slices"

	"go.uber.org/zap/zapcore"
)

// The events. Numbers are never used again for another meaning.
const (
	DaemonStarted        ID = 1001
	DaemonStopping       ID = 1002
	DaemonStopped        ID = 1003
	ShutdownTimedOut     ID = 1004
	SettingsReloaded     ID = 1010
	SettingsInvalid      ID = 1011
	ListenerFailed       ID = 1020
	UpstreamAnnounced    ID = 1101
	UpstreamDraining     ID = 1102
	UpstreamDeregistered ID = 1103
	UpstreamLeaseExpired ID = 1104
	UpstreamCrashed      ID = 1105
	CrashSuspectBlocked  ID = 1106

	AnnouncementOutdated ID = 1107
	AnnouncementInvalid  ID = 1108
	DocumentRefused      ID = 1303
	DocumentAccepted     ID = 1304
	ConfigApplied        ID = 1201
	ConfigStale          ID = 1202
	ConfigFresh          ID = 1203
	RelayChanged         ID = 1204
	DigestMismatch       ID = 1205
	ChangeAccepted       ID = 1301
	ChangeRefused        ID = 1302
	LogTailTruncated     ID = 1401
	LogCorrupt           ID = 1402
	StoreWriteFailed     ID = 1403
	SnapshotWritten      ID = 1404
	LeaderElected        ID = 1501
	LeaderSteppedDown    ID = 1502
	VoterAdded           ID = 1503
	VoterRemoved         ID = 1504
	MessageRefused       ID = 1601
	AnswerIncomplete     ID = 1701
	ActionOutcomeUnknown ID = 1702
	ConnectionReplaced   ID = 1703
)

var catalogue = byID([]Definition{
	{DaemonStarted, zapcore.InfoLevel, "The daemon has started and serves."},
	{DaemonStopping, zapcore.InfoLevel, "The daemon stops: it takes no new work and finishes what runs."},
	{DaemonStopped, zapcore.InfoLevel, "The daemon has stopped; nothing was running."},
	{ShutdownTimedOut, zapcore.WarnLevel, "The shutdown timeout passed while calls were still running."},
	{SettingsReloaded, zapcore.InfoLevel, "The settings file was read again and is in force."},
	{SettingsInvalid, zapcore.ErrorLevel, "The settings file is not valid; the settings in force were kept."},
	{ListenerFailed, zapcore.ErrorLevel, "A listener ended with an error."},
	{UpstreamAnnounced, zapcore.InfoLevel, "The upstream on this VM announced itself."},
	{UpstreamDraining, zapcore.InfoLevel, "The upstream on this VM drains; it gets no new work."},
	{UpstreamDeregistered, zapcore.InfoLevel, "The upstream on this VM left."},
	{UpstreamLeaseExpired, zapcore.WarnLevel, "The upstream on this VM did not renew its announcement in time."},
	{UpstreamCrashed, zapcore.WarnLevel, "The upstream closed its connections while it ran calls."},
	{CrashSuspectBlocked, zapcore.WarnLevel, "A request was running at two crashes and is refused for a while."},
	{AnnouncementOutdated, zapcore.InfoLevel, "An announcement came late; a later one had been taken already."},
	{AnnouncementInvalid, zapcore.WarnLevel, "An announcement could not be read; what was known before holds."},
	{ConfigApplied, zapcore.InfoLevel, "A configuration revision is in force on this VM."},
	{ConfigStale, zapcore.WarnLevel, "The configuration could not be confirmed as current for too long."},
	{ConfigFresh, zapcore.InfoLevel, "The configuration is confirmed as current again."},
	{RelayChanged, zapcore.InfoLevel, "The daemon takes its configuration from another relay."},
	{DigestMismatch, zapcore.ErrorLevel, "The configuration differs from that of the relay and is fetched whole."},
	{ChangeAccepted, zapcore.InfoLevel, "A change was accepted."},
	{ChangeRefused, zapcore.WarnLevel, "A change was refused."},
	{DocumentRefused, zapcore.WarnLevel, "A document was refused; the configuration in force holds."},
	{DocumentAccepted, zapcore.InfoLevel, "A document was accepted; it is in force, or was before."},
	{LogTailTruncated, zapcore.WarnLevel, "An incomplete record at the end of the log was cut off."},
	{LogCorrupt, zapcore.ErrorLevel, "The log is damaged before its end; the daemon does not start."},
	{StoreWriteFailed, zapcore.ErrorLevel, "Writing to the data folder failed; nothing more is acknowledged."},
	{SnapshotWritten, zapcore.InfoLevel, "A snapshot was written and the log before it removed."},
	{LeaderElected, zapcore.InfoLevel, "A leader was elected among the control daemons."},
	{LeaderSteppedDown, zapcore.WarnLevel, "This control daemon stepped down: it no longer reaches a majority."},
	{VoterAdded, zapcore.InfoLevel, "A control daemon became a voter."},
	{VoterRemoved, zapcore.InfoLevel, "A control daemon is no longer a voter."},
	{MessageRefused, zapcore.WarnLevel, "A message from another process was refused."},
	{AnswerIncomplete, zapcore.WarnLevel, "An upstream's answer was cut short; the caller got an error."},
	{ActionOutcomeUnknown, zapcore.WarnLevel, "An action that must not run twice ended without a known outcome."},
	{ConnectionReplaced, zapcore.InfoLevel, "A silent connection was closed and replaced."},
})

func byID(list []Definition) map[ID]Definition {
	m := make(map[ID]Definition, len(list))
	for _, d := range list {
		m[d.ID] = d
	}
	return m
}

// Catalogue returns all events by number.
func Catalogue() []Definition {
	return slices.SortedFunc(maps.Values(catalogue), func(a, b Definition) int { return int(a.ID - b.ID) })
}
