// Package heap sets how much garbage the Go runtime lets pile up before it collects.
//
// # Usage
//
//	stop := heap.KeepHeadroom(32 << 20)
//	defer stop()
//
// By default the runtime collects whenever as much has been allocated as was in use, so a
// process with a small heap that serves many calls collects several times a second. Each
// collection has a cost that hardly depends on the size of a small heap: the world is
// stopped, and workers are woken on all processors. With headroom, a collection begins only
// when at least that much has been allocated. A heap that is larger than the headroom is
// collected as by default, and a memory limit of the runtime still holds.
package heap

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync/atomic"
)

const (
	// defaultPercent is what the runtime starts with: a heap doubles between collections.
	defaultPercent = 100
	// minHeap is the size in bytes up to which the runtime lets a heap grow with the default
	// percentage, however little is in use. It grows in proportion to the percentage.
	minHeap = 4 << 20
)

// Percent returns the GC percentage with which the runtime collects after headroom bytes
// were allocated, if inUse bytes had to be scanned in the last collection.
func Percent(headroom, inUse uint64) int {
	return int(max(headroom*100/max(inUse, minHeap), defaultPercent))
}

// KeepHeadroom sets the GC percentage after each collection for the given headroom in
// bytes, until stop is called, which sets the default.
func KeepHeadroom(headroom uint64) (stop func()) {
	k := &keeper{headroom: headroom, percent: defaultPercent}
	k.adjust()
	runtime.SetFinalizer(&sentinel{k}, collected)
	return func() {
		k.stopped.Store(true)
		debug.SetGCPercent(defaultPercent)
	}
}

type keeper struct {
	headroom uint64
	// percent is the percentage that is set.
	percent int
	stopped atomic.Bool
}

// sentinel is not referenced by anything, so its finalizer runs after each collection.
type sentinel struct{ k *keeper }

func collected(s *sentinel) {
	if s.k.stopped.Load() {
		return
	}
	s.k.adjust()
	runtime.SetFinalizer(s, collected)
}

// adjust sets the percentage if it differs by more than an eighth, since setting it stops
// the world.
func (k *keeper) adjust() {
	const tolerance = 8
	percent := Percent(k.headroom, bytesInUse())
	difference := percent - k.percent
	if max(difference, -difference)*tolerance <= k.percent {
		return
	}
	k.percent = percent
	debug.SetGCPercent(percent)
}

// bytesInUse returns what the percentage refers to: the bytes of the heap that the last
// collection has found in use, and those of stacks and global variables.
func bytesInUse() (n uint64) {
	samples := []metrics.Sample{
		{Name: "/gc/heap/live:bytes"}, {Name: "/gc/scan/stack:bytes"}, {Name: "/gc/scan/globals:bytes"},
	}
	metrics.Read(samples)
	for _, s := range samples {
		if s.Value.Kind() == metrics.KindUint64 {
			n += s.Value.Uint64()
		}
	}
	return n
}
