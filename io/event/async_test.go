package event

import (
	"bytes"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// stuckWriter blocks every write until it is released.
type stuckWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return w.Buffer.Write(p)
}

func TestStuckReaderOfTheLogBlocksNobody(t *testing.T) {
	w := &stuckWriter{release: make(chan struct{})}
	log, err := Open(w, "info", "json")
	assert.NilError(t, err)
	const lines = 10_000
	for range lines {
		log.Emit(DaemonStarted)
	}
	dropped := log.TakeDropped()
	assert.Assert(t, dropped > 0)
	close(w.release)
	log.Sync()
	written := strings.Count(w.String(), "\n")
	assert.Equal(t, uint64(written)+dropped, uint64(lines))
}

func TestSyncWritesAllLinesInOrder(t *testing.T) {
	var out bytes.Buffer
	log, err := Open(&out, "info", "json")
	assert.NilError(t, err)
	log.Emit(DaemonStarted)
	log.Emit(DaemonStopping)
	log.Sync()
	assert.Assert(t, strings.Index(out.String(), "1001") < strings.Index(out.String(), "1002"))
}
