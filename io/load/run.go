package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chicorymast/io/proxy"
	"chicorymast/io/stub"
)

// runner sends the calls of one plan.
type runner struct {
	plan   Plan
	client *http.Client
	began  time.Time
	next   atomic.Uint64
	places chan struct{}
	wg     sync.WaitGroup
	result *Result
	// selective is set when the surge concerns some streams only.
	selective bool
	inside    *insideMeter
}

// Run carries out a plan and returns what the customers got.
func Run(ctx context.Context, p Plan) *Result {
	const idle = 1024
	r := &runner{
		plan: p,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idle, DisableCompression: true, IdleConnTimeout: 5 * time.Second,
		}},
		began:  time.Now(),
		places: make(chan struct{}, p.Load.MaxInFlight),
		result: newResult(p),
		inside: newInsideMeter(p),
	}
	r.selective = slices.ContainsFunc(p.Streams, func(s Stream) bool { return s.SurgeOnly })
	var generators sync.WaitGroup
	for i, s := range p.Streams {
		generators.Go(func() { r.generate(ctx, s, uint64(p.Load.Seed+i)) })
	}
	generators.Wait()
	r.wg.Wait()
	r.client.CloseIdleConnections()
	r.result.finish(time.Since(r.began))
	return r.result
}

// generate starts the calls of one stream at random times of its rate.
func (r *runner) generate(ctx context.Context, s Stream, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	due := r.began
	for n := 0; ; n++ {
		pause := rng.ExpFloat64() / (s.Rate * r.factor(s, due))
		due = due.Add(time.Duration(pause * float64(time.Second)))
		if due.Sub(r.began) > r.plan.Load.Duration || !waitUntil(ctx, due) {
			return
		}
		inside := r.inside.allows(s, due)
		select {
		case r.places <- struct{}{}:
		default:
			r.result.add(s, due, CallResult{Outcome: "not_sent", Conforming: inside})
			continue
		}
		r.wg.Add(1)
		go r.customer(ctx, s, n, due, inside)
	}
}

func (r *runner) factor(s Stream, at time.Time) float64 {
	if r.selective && !s.SurgeOnly {
		return 1
	}
	since := at.Sub(r.began)
	l := r.plan.Load
	if l.SurgeFor > 0 && since >= l.SurgeAt && since < l.SurgeAt+l.SurgeFor {
		return l.SurgeFactor
	}
	return 1
}

func waitUntil(ctx context.Context, at time.Time) bool {
	wait := time.Until(at)
	if wait <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// customer sends one call, and again as an impatient customer does.
func (r *runner) customer(ctx context.Context, s Stream, n int, due time.Time, inside bool) {
	defer r.wg.Done()
	defer func() { <-r.places }()
	path := strings.ReplaceAll(s.Path, "{n}", strconv.Itoa(n))
	action := fmt.Sprintf("%s-%d-%d", s.Name, r.plan.Load.Seed, n)
	var out CallResult
	for attempt := 0; ; attempt++ {
		out = r.send(ctx, s, path, action)
		out.Attempts = attempt + 1
		if out.Success || attempt >= r.plan.Load.Retries || !worthRetry(out) {
			break
		}
		if !waitUntil(ctx, time.Now().Add(r.plan.Load.Backoff<<attempt)) {
			break
		}
	}
	out.Latency = time.Since(due)
	out.Conforming = inside
	out.LedgerKey = action + " " + path
	r.result.add(s, due, out)
}

func worthRetry(s CallResult) bool {
	return s.Status == 0 || s.Status >= http.StatusInternalServerError || s.Status == http.StatusTooManyRequests || s.Outcome == "action_running"
}

func (r *runner) send(ctx context.Context, s Stream, path, action string) CallResult {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Load.Timeout)
	defer cancel()
	targets := r.plan.Load.Targets
	if len(s.Targets) > 0 {
		targets = s.Targets
	}
	target := targets[r.next.Add(1)%uint64(len(targets))]
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+target+path, body(s))
	if err != nil {
		return CallResult{Outcome: "not_sent"}
	}
	req.GetBody = nil
	if s.Key != "" {
		req.Header.Set("Authorization", "Bearer "+s.Key)
	}
	if !s.Idempotent {
		req.Header["idempotency-key"] = []string{action}
	}
	if r.plan.Load.Direct {
		req.Header.Set(stub.HeaderDirect, "true")
	}
	resp, err := r.client.Do(req)
	if err != nil {
		if ctx.Err() != nil {
			return CallResult{Outcome: "timeout"}
		}
		return CallResult{Outcome: "broken"}
	}
	defer resp.Body.Close()
	return judge(resp, path)
}

func body(s Stream) io.Reader {
	if s.BodyBytes == 0 {
		return nil
	}
	return bytes.NewReader(make([]byte, s.BodyBytes))
}

// judge decides whether an answer is whole and belongs to its call.
func judge(resp *http.Response, path string) CallResult {
	data, err := io.ReadAll(resp.Body)
	out := CallResult{Status: resp.StatusCode}
	if err != nil {
		out.Outcome = "cut_short"
		return out
	}
	if resp.StatusCode != http.StatusOK {
		out.Outcome, out.NotRun = refusal(data, resp.StatusCode)
		return out
	}
	var reply stub.Reply
	if json.Unmarshal(data, &reply) != nil || reply.Path != path {
		out.Outcome = "wrong_answer"
		return out
	}
	out.Success, out.Outcome = true, "whole"
	return out
}

func refusal(data []byte, status int) (reason string, notRun bool) {
	var p proxy.Problem
	if json.Unmarshal(data, &p) == nil && p.Reason != "" {
		return string(p.Reason), p.NotRun
	}
	return "status_" + strconv.Itoa(status), false
}
