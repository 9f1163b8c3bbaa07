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

// A daemon beside an upstream says every progressInterval that it still works
// on a call (102 Processing), so that the daemon that asked can tell a slow
// upstream from a connection or a VM that has gone silent.
const (
	progressInterval = 250 * time.Millisecond
	// silence is how long a peer may say nothing before its answer begins.
	silence = 4 * progressInterval
)

// errSilent is why an attempt was given up.
var errSilent = errors.New("the peer fell silent")

// watchdog ends an attempt when the peer says nothing for too long.
type watchdog struct {
	timer *time.Timer
	wrote atomic.Bool
	ended atomic.Bool
}

// watch returns a context for one attempt and its watchdog.
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

// follow counts progress of the request's body as progress of the call.
func (w *watchdog) follow(r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		r.Body = &watchedBody{ReadCloser: r.Body, w: w}
	}
}

type watchedBody struct {
	io.ReadCloser
	w *watchdog
}

// Read notes that the peer takes the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.w.touch()
	return n, err
}

// answered ends the watch: the answer has begun.
func (w *watchdog) answered() {
	w.ended.Store(true)
	w.timer.Stop()
}

// touch notes that the peer is there.
func (w *watchdog) touch() {
	if !w.ended.Load() {
		w.timer.Reset(silence)
	}
}

// progress sends 102 Processing until its answer begins.
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

// stop ends the progress; the answer may be written when it returns.
func (p *progress) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = true
	p.timer.Stop()
}

// pacedBody gives up on a sender that is silent in the middle of a body.
type pacedBody struct {
	io.Reader
	control *http.ResponseController
	patient time.Duration
}

// Read extends the time for the next bytes, then reads them.
func (b pacedBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.patient))
	n, err := b.Reader.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close leaves the body to net/http.
func (pacedBody) Close() error { return nil }

// refusesConnections reports whether nobody listens at an address any more.
func refusesConnections(address string) bool {
	const patience = 200 * time.Millisecond
	conn, err := net.DialTimeout("tcp", address, patience)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
