package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"sync/atomic"
	"time"
)

// While a call runs, the daemon of the upstream sends 102 Processing to the
// peer every progressInterval, so that the peer can tell a slow upstream from a
// broken connection or a failed VM.
const (
	progressInterval = 250 * time.Millisecond
	// silence is how long a peer may send nothing before its response.
	silence = 4 * progressInterval
)

// errSilent is the cause with which the watchdog cancels an attempt.
var errSilent = errors.New("the peer fell silent")

// watchdog cancels an attempt if the peer sends nothing for too long.
type watchdog struct {
	timer *time.Timer
	wrote atomic.Bool
	ended atomic.Bool
}

// watch returns a context for one attempt, its watchdog, and a function that
// releases both.
func watch(ctx context.Context) (context.Context, *watchdog, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{}
	w.timer = time.AfterFunc(silence, func() {
		if !w.ended.Load() {
			cancel(errSilent)
		}
	})
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { w.wrote.Store(true) },
		WroteRequest: func(httptrace.WroteRequestInfo) { w.touch() },
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			w.touch()
			return nil
		},
	})
	return ctx, w, func() {
		w.answered()
		cancel(nil)
	}
}

// follow resets the watchdog whenever part of the request body is sent.
func (w *watchdog) follow(r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &watchedBody{ReadCloser: r.Body, w: w}
	}
}

type watchedBody struct {
	io.ReadCloser
	w *watchdog
}

// Read resets the watchdog.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.w.touch()
	return n, err
}

// answered stops the watchdog when the response has begun.
func (w *watchdog) answered() {
	w.ended.Store(true)
	w.timer.Stop()
}

// touch restarts the timeout after a sign of life from the peer.
func (w *watchdog) touch() {
	if !w.ended.Load() {
		w.timer.Reset(silence)
	}
}

// progress sends 102 Processing at intervals until the response begins.
type progress struct {
	w     http.ResponseWriter
	mu    sync.Mutex
	timer *time.Timer
	ended bool
}

func startProgress(w http.ResponseWriter) *progress {
	p := &progress{w: w}
	p.timer = time.AfterFunc(progressInterval, p.tell)
	return p
}

func (p *progress) tell() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.w.WriteHeader(http.StatusProcessing)
	p.timer.Reset(progressInterval)
}

// stop ends the interim responses. The final response may be written after it
// has returned.
func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
}

// pacedBody is a request body whose reads fail if no data arrives in time.
type pacedBody struct {
	io.Reader
	control *http.ResponseController
	patient time.Duration
}

// Read sets a new read deadline and reads. It clears the deadline at the end.
func (b pacedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.patient))
	n, err := b.Reader.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close does nothing: net/http closes the underlying body.
func (pacedBody) Close() error { return nil }

// refusesConnections reports whether a TCP connection to address fails.
func refusesConnections(address string) bool {
	const patience = 200 * time.Millisecond
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
