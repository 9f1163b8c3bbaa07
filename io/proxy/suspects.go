package proxy

import (
	"sync"
	"time"

	"chicorymast/core/board"
	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/core/poison"
	"chicorymast/io/event"

	"go.uber.org/zap"
)

// suspects refuses requests that have crashed upstreams.
type suspects struct {
	vm    ident.VM
	board *board.Board
	log   *event.Log
	mu    sync.Mutex
	table *poison.Table
}

func newSuspects(opt Options) *suspects {
	return &suspects{vm: opt.Config().Daemon.VM, board: opt.Board, log: opt.Log, table: poison.New()}
}

// refuse returns a refusal if too many upstreams crashed while they ran the
// request, counted over all daemons.
func (s *suspects) refuse(now time.Time, fp poison.Fingerprint) *fault.Refusal {
	s.mu.Lock()
	crashes := s.table.Crashes(now, fp)
	s.mu.Unlock()
	crashes += s.board.Members.Read().CrashesElsewhere(s.vm, fp)
	if crashes < poison.CrashesToSuspect {
		return nil
	}
	return fault.Refuse(fault.ReasonCrashSuspect, "this request met %d crashes of upstreams and is not run for a while", crashes)
}

// refuseSuspect returns the refusal of a call whose content has crashed upstreams. The
// content is looked at only while any daemon knows of crashes.
func (p *Proxy) refuseSuspect(o *outboundCall) *fault.Refusal {
	if len(*p.opt.Board.Crashes.Read()) == 0 && len(p.opt.Board.Members.Read().Crashes) == 0 {
		return nil
	}
	return p.suspects.refuse(p.opt.Clock.Now(), o.contentFingerprint())
}

// clearSuspect deletes the count of a call that got a response.
func (p *Proxy) clearSuspect(o *outboundCall) {
	if len(*p.opt.Board.Crashes.Read()) > 0 {
		p.suspects.recordResponse(p.opt.Clock.Now(), o.contentFingerprint())
	}
}

// recordCrash counts a crash and publishes the counts.
func (s *suspects) recordCrash(now time.Time, fp poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.RecordCrash(now, fp)
	s.publish(now)
	if s.table.Crashes(now, fp) >= poison.CrashesToSuspect {
		s.log.Emit(event.CrashSuspectBlocked, zap.String("fingerprint", string(fp)))
	}
}

// recordResponse deletes the count of a request that got a response.
func (s *suspects) recordResponse(now time.Time, fp poison.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table.RecordResponse(fp) {
		s.publish(now)
	}
}

// expire publishes the counts if some have expired.
func (s *suspects) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.table.CrashCounts(now)) != len(*s.board.Crashes.Read()) {
		s.publish(now)
	}
}

func (s *suspects) publish(now time.Time) {
	counts := s.table.CrashCounts(now)
	s.board.Crashes.Write(&counts)
}
