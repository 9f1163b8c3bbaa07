package daemon

import (
	"errors"
	"net"
	"testing"
	"time"

	"chicorymast/io/event"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// failingListener returns its errors one after another, then connections.
type failingListener struct {
	net.Listener
	errs []error
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		conn, _ := net.Pipe()
		return conn, nil
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, err
}

func acceptAfter(errs ...error) (conn net.Conn, paused time.Duration, err error) {
	l := &patientListener{Listener: &failingListener{errs: errs}, log: event.Discard(), pause: func(d time.Duration) { paused += d }}
	conn, err = l.Accept()
	return conn, paused, err
}

// A daemon at its limit of open files must go on when files are closed.
func TestListenerOutlivesTooManyOpenFiles(t *testing.T) {
	accept := func(errno unix.Errno) error { return &net.OpError{Op: "accept", Err: errno} }
	conn, paused, err := acceptAfter(accept(unix.EMFILE), accept(unix.ENFILE), accept(unix.ECONNABORTED))
	assert.NilError(t, err)
	assert.Assert(t, conn != nil)
	assert.Equal(t, paused, 7*minAcceptPause)
	t.Run("but not its end", func(t *testing.T) {
		_, _, err := acceptAfter(net.ErrClosed)
		assert.Assert(t, errors.Is(err, net.ErrClosed))
	})
}
