package proxy

import (
	"context"
	"sync"
	"time"

	"chicorymast/core/dedup"
	"chicorymast/core/ident"
	"chicorymast/core/quota"
	"chicorymast/io/timer"
)

// localQuota charges grants on this VM alone.
type localQuota struct {
	clock   timer.Clock
	mu      sync.Mutex
	buckets map[ident.Grant]*quota.Bucket
}

// NewLocalQuota returns a quota that knows of no other VM.
func NewLocalQuota(clock timer.Clock) Quota {
	return &localQuota{clock: clock, buckets: map[ident.Grant]*quota.Bucket{}}
}

func (q *localQuota) Charge(_ context.Context, g ident.Grant, rate ident.Rate, burst ident.Burst) (time.Duration, error) {
	now := q.clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.buckets[g]
	if b == nil {
		first := quota.NewBucket(now, rate, burst, float64(burst))
		b = &first
		q.buckets[g] = b
	}
	b.Adjust(now, rate, burst)
	if b.Take(now, 1) {
		return 0, nil
	}
	return b.Wait(now, 1), nil
}

// localRecords keeps the actions that entered at this VM.
type localRecords struct {
	clock timer.Clock
	mu    sync.Mutex
	table *dedup.Table
}

// NewLocalRecords returns records that know of no other VM.
func NewLocalRecords(clock timer.Clock) Records {
	return &localRecords{clock: clock, table: dedup.New(dedup.DefaultKeep, dedup.DefaultBytes)}
}

func (r *localRecords) Begin(_ context.Context, id dedup.ID, fp dedup.Fingerprint) (dedup.Verdict, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Begin(r.clock.Now(), id, fp), nil
}

func (r *localRecords) Finish(id dedup.ID, a dedup.Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Finish(r.clock.Now(), id, a)
}

func (r *localRecords) Abandon(id dedup.ID, notRun bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Abandon(r.clock.Now(), id, notRun)
}
