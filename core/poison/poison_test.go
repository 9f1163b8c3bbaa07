package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func mustCount(t testing.TB, table *Table, now time.Time, f Fingerprint, want int) {
	t.Helper()
	assert.Equal(t, table.Crashes(now, f), want)
}

func TestCrashesAreCountedAndExpire(t *testing.T) {
	table := New()
	table.RecordCrash(epoch, "bad")
	table.RecordCrash(epoch.Add(time.Second), "bad")
	mustCount(t, table, epoch.Add(time.Second), "bad", 2)
	assert.DeepEqual(t, table.CrashCounts(epoch.Add(time.Second)), []CrashCount{{"bad", 2}})
	mustCount(t, table, epoch.Add(2*CrashRetention), "bad", 0)
}

func TestResponseClearsCrashes(t *testing.T) {
	table := New()
	table.RecordCrash(epoch, "innocent")
	assert.Assert(t, table.RecordResponse("innocent"))
	assert.Assert(t, !table.RecordResponse("innocent"))
	mustCount(t, table, epoch, "innocent", 0)
}

func TestNumberOfEntriesIsLimited(t *testing.T) {
	table := New()
	for i := range 10 * maxEntries {
		table.RecordCrash(epoch.Add(time.Duration(i)), Fingerprint(fmt.Sprint(i)))
	}
	assert.Equal(t, len(table.CrashCounts(epoch)), maxEntries)
	mustCount(t, table, epoch, Fingerprint(fmt.Sprint(10*maxEntries-1)), 1)
}
