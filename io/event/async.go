package event

import (
	"io"
	"sync"
	"time"
)

const (
	// maxBuffered is the most bytes of the log that wait for their reader.
	maxBuffered = 256 << 10
	// syncTimeout limits how long Sync waits for a reader that does not read.
	syncTimeout = time.Second
)

// asyncWriter writes lines from a goroutine of its own, so that a reader of the log
// that is slow or stuck does not block the daemon. Lines beyond maxBuffered are
// dropped and counted.
type asyncWriter struct {
	w     io.Writer
	wake  chan struct{}
	syncs chan chan struct{}

	mu      sync.Mutex
	buffer  []byte
	dropped uint64
}

func newAsyncWriter(w io.Writer) *asyncWriter {
	a := &asyncWriter{w: w, wake: make(chan struct{}, 1), syncs: make(chan chan struct{})}
	go a.run()
	return a
}

// Write buffers a line. It never fails.
func (a *asyncWriter) Write(line []byte) (n int, err error) {
	a.mu.Lock()
	if len(a.buffer)+len(line) > maxBuffered {
		a.dropped++
	} else {
		a.buffer = append(a.buffer, line...)
	}
	a.mu.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync waits until the buffered lines are written, at most syncTimeout.
func (a *asyncWriter) Sync() error {
	timeout := time.NewTimer(syncTimeout)
	defer timeout.Stop()
	written := make(chan struct{})
	select {
	case a.syncs <- written:
	case <-timeout.C:
		return nil
	}
	select {
	case <-written:
	case <-timeout.C:
	}
	return nil
}

// takeDropped returns the number of lines dropped since the last call.
func (a *asyncWriter) takeDropped() (n uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, a.dropped = a.dropped, 0
	return n
}

func (a *asyncWriter) run() {
	var spare []byte
	for {
		select {
		case <-a.wake:
			spare = a.flush(spare)
		case written := <-a.syncs:
			spare = a.flush(spare)
			close(written)
		}
	}
}

// flush writes the buffer and gives it the memory of spare. It returns the memory
// of what it has written.
func (a *asyncWriter) flush(spare []byte) []byte {
	a.mu.Lock()
	text := a.buffer
	a.buffer = spare[:0]
	a.mu.Unlock()
	if len(text) > 0 {
		_, _ = a.w.Write(text) // a log without a reader has nowhere to report this
	}
	return text
}
