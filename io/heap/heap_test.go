package heap

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"testing"

	"gotest.tools/v3/assert"
)

// A small heap must get the headroom, and a large one no more than by default: it would
// exceed the memory of its VM.
func TestPercent(t *testing.T) {
	const mb = 1 << 20
	assert.Equal(t, Percent(32*mb, 4*mb), 800)
	assert.Equal(t, Percent(32*mb, 32*mb), 100)
	assert.Equal(t, Percent(32*mb, 200*mb), 100)
	assert.Equal(t, Percent(32*mb, 1), 800, "the runtime starts with the percentage of 4 MB")
	assert.Equal(t, Percent(32*mb, 0), 800)
	assert.Equal(t, Percent(0, 4*mb), 100)
}

func currentPercent() int {
	samples := []metrics.Sample{{Name: "/gc/gogc:percent"}}
	metrics.Read(samples)
	return int(samples[0].Value.Uint64())
}

// awaitPercent collects garbage until the percentage satisfies a condition. Finalizers run
// some time after a collection.
func awaitPercent(t *testing.T, ok func(int) bool) {
	t.Helper()
	const attempts = 10_000
	for range attempts {
		if ok(currentPercent()) {
			return
		}
		runtime.GC()
		runtime.Gosched()
	}
	t.Fatalf("the percentage stays at %d", currentPercent())
}

// The percentage must follow the heap, also when it grows: a small heap's percentage on a
// large heap would exhaust memory.
func TestPercentFollowsTheHeap(t *testing.T) {
	const mb = 1 << 20
	before := debug.SetGCPercent(defaultPercent)
	defer debug.SetGCPercent(before)
	stop := KeepHeadroom(32 * mb)
	awaitPercent(t, func(percent int) bool { return percent >= 400 })
	held := make([]byte, 64*mb)
	awaitPercent(t, func(percent int) bool { return percent <= 112 })
	runtime.KeepAlive(held)
	stop()
	assert.Equal(t, currentPercent(), defaultPercent)
}
