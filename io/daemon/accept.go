package daemon

import (
	"errors"
	"net"
	"time"

	"chicorymast/core/fault"
	"chicorymast/io/event"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

const (
	// minAcceptPause is the first pause after a connection could not be accepted for
	// lack of resources; it doubles up to maxAcceptPause.
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 200 * time.Millisecond
)

// patientListener goes on after errors of Accept that pass by themselves, such as too
// many open files. To others, a listener with such an error looks broken for good.
type patientListener struct {
	net.Listener
	name  string
	log   *event.Log
	pause func(time.Duration)
}

func newPatientListener(ln net.Listener, name string, log *event.Log) net.Listener {
	return &patientListener{Listener: ln, name: name, log: log, pause: time.Sleep}
}

// Accept waits for the next connection. It returns only errors that last.
func (l *patientListener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if !passes(err) {
			return conn, err
		}
		if pause == minAcceptPause {
			l.log.Emit(event.AcceptPaused, zap.String("listener", l.name), zap.Error(err))
		}
		l.pause(pause)
	}
}

// passes reports whether an error of Accept can pass without a change to the listener.
func passes(err error) bool {
	for _, e := range []unix.Errno{unix.ECONNABORTED, unix.ENOBUFS, unix.ENOMEM} {
		if errors.Is(err, e) {
			return true
		}
	}
	return fault.TooManyFiles(err)
}
