package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_000_000, 0)

func mustCount(t testing.TB, table *Table, now time.Time, p Print, want int) {
	t.Helper()
	assert.Equal(t, table.Crashes(now, p), want)
}

func TestCrashesCountAndEnd(t *testing.T) {
	table := New()
	table.Crashed(epoch, "bad")
	table.Crashed(epoch.Add(time.Second), "bad")
	mustCount(t, table, epoch.Add(time.Second), "bad", 2)
	assert.DeepEqual(t, table.Marks(epoch.Add(time.Second)), []Mark{{"bad", 2}})
	mustCount(t, table, epoch.Add(2*Memory), "bad", 0)
}

func TestAnswerClears(t *testing.T) {
	table := New()
	table.Crashed(epoch, "innocent")
	assert.Assert(t, table.Answered("innocent"))
	assert.Assert(t, !table.Answered("innocent"))
	mustCount(t, table, epoch, "innocent", 0)
}

func TestBounded(t *testing.T) {
	table := New()
	for i := range 10 * mostMarks {
		table.Crashed(epoch.Add(time.Duration(i)), Print(fmt.Sprint(i)))
	}
	assert.Equal(t, len(table.Marks(epoch)), mostMarks)
	mustCount(t, table, epoch, Print(fmt.Sprint(10*mostMarks-1)), 1)
}
