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

	"chicorymast/io/limit"
)

// While a call runs, the daemon of the upstream sends 102 Processing to the
// peer every interimInterval, so that the peer can tell a slow upstream from a
// broken connection or a failed VM.
const (
	interimInterval = 250 * time.Millisecond
	// silenceTimeout is how long a peer may send nothing before its response.
	silenceTimeout = 4 * interimInterval
	// interimSlack is how late a busy peer may send its 102 Processing.
	interimSlack = 100 * time.Millisecond
	// suspectTime is how long a peer may send nothing until it counts as silent. The
	// attempt goes on until silenceTimeout.
	suspectTime = interimInterval + interimSlack
)

// errPeerSilent is the cause with which the watchdog cancels an attempt.
var errPeerSilent = errors.New("the peer fell silent")

// watchdog cancels an attempt if the peer sends nothing for too long.
type watchdog struct {
	trace httptrace.ClientTrace
	// starting is held until timer is set.
	starting     sync.Mutex
	timer        *time.Timer
	wroteHeaders atomic.Bool
	disarmed     atomic.Bool
	// silent is set while the peer has sent nothing for suspectTime.
	silent atomic.Bool
	// onSilent is called when silent is set, onAlive at each sign of life.
	onSilent, onAlive func()
	cancel            context.CancelCauseFunc
}

// withWatchdog returns a context for one attempt, its watchdog, and a function
// that releases both.
func withWatchdog(ctx context.Context, onSilent, onAlive func()) (context.Context, *watchdog, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &watchdog{onSilent: onSilent, onAlive: onAlive, cancel: cancel}
	w.starting.Lock()
	w.timer = time.AfterFunc(suspectTime, w.expire)
	w.starting.Unlock()
	served := ctx
	w.trace.GotConn = func(info httptrace.GotConnInfo) { limit.Expect(served, info.Conn) }
	w.trace.WroteHeaders = func() { w.wroteHeaders.Store(true) }
	w.trace.WroteRequest = func(httptrace.WroteRequestInfo) { w.reset() }
	w.trace.Got1xxResponse = func(int, textproto.MIMEHeader) error {
		w.onAlive()
		w.reset()
		return nil
	}
	return httptrace.WithClientTrace(ctx, &w.trace), w, func() {
		w.disarm()
		cancel(nil)
	}
}

// expire suspects a silent peer and, when it stays silent, cancels the attempt. A process
// may be suspended between the start of the timer and its being set.
func (w *watchdog) expire() {
	w.starting.Lock()
	defer w.starting.Unlock()
	if w.disarmed.Load() {
		return
	}
	if w.silent.Swap(true) {
		w.cancel(errPeerSilent)
		return
	}
	w.timer.Reset(silenceTimeout - suspectTime)
	w.onSilent()
}

// watchRequestBody resets the watchdog whenever part of the request body is sent. A body
// that is sent in one write with the head is not sent in parts.
func (w *watchdog) watchRequestBody(r *http.Request) {
	joined := r.ContentLength >= 0 && r.ContentLength <= maxJoinedBody
	if r.Body != nil && r.Body != http.NoBody && !joined {
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
	b.w.reset()
	return n, err
}

// disarm stops the watchdog when the response has begun.
func (w *watchdog) disarm() {
	w.disarmed.Store(true)
	w.timer.Stop()
}

// reset restarts the timeout after progress on the connection to the peer.
func (w *watchdog) reset() {
	if !w.disarmed.Load() {
		w.silent.Store(false)
		w.timer.Reset(suspectTime)
	}
}

// interimSender sends 102 Processing at intervals until the response begins.
type interimSender struct {
	w       http.ResponseWriter
	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

func startInterimSender(w http.ResponseWriter) *interimSender {
	s := &interimSender{w: w}
	s.mu.Lock()
	defer s.mu.Unlock() // send waits until the timer is set
	s.timer = time.AfterFunc(interimInterval, s.send)
	return s
}

func (s *interimSender) send() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.w.WriteHeader(http.StatusProcessing)
	s.timer.Reset(interimInterval)
}

// stop ends the interim responses. The final response may be written after it
// has returned.
func (s *interimSender) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
}

// readTimeoutBody is a request body whose reads fail if no data arrives in time.
type readTimeoutBody struct {
	io.Reader
	control *http.ResponseController
	timeout time.Duration
}

// Read sets a new read deadline and reads. It clears the deadline after the end of
// the body or an error.
func (b readTimeoutBody) Read(p []byte) (int, error) {
	_ = b.control.SetReadDeadline(time.Now().Add(b.timeout))
	n, err := b.Reader.Read(p)
	if err != nil {
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close does nothing: net/http closes the underlying body.
func (readTimeoutBody) Close() error { return nil }

// refusesConnections reports whether a TCP connection to address fails.
func refusesConnections(address string) bool {
	const dialTimeout = 200 * time.Millisecond
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}
