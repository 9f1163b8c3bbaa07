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

// runner runs a load plan.
type runner struct {
	plan       Plan
	client     *http.Client
	started    time.Time
	nextTarget atomic.Uint64
	inFlight   chan struct{}
	wg         sync.WaitGroup
	result     *Result
	// selectiveSurge is set when the surge applies to some streams only.
	selectiveSurge bool
	conformance    *conformanceMeter
}

// Run runs a load plan until its end or until ctx is done, waits for open calls and
// returns the result.
func Run(ctx context.Context, p Plan) *Result {
	const maxIdleConns = 1024
	r := &runner{
		plan: p,
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true, IdleConnTimeout: 5 * time.Second,
		}},
		started:     time.Now(),
		inFlight:    make(chan struct{}, p.Load.MaxInFlight),
		result:      newResult(p),
		conformance: newConformanceMeter(p),
	}
	r.selectiveSurge = slices.ContainsFunc(p.Streams, func(s Stream) bool { return s.SurgeOnly })
	var generators sync.WaitGroup
	for i, s := range p.Streams {
		generators.Go(func() { r.generate(ctx, s, uint64(p.Load.Seed+i)) })
	}
	generators.Wait()
	r.wg.Wait()
	r.client.CloseIdleConnections()
	r.result.finish(time.Since(r.started))
	return r.result
}

// generate starts the calls of a stream, with exponentially distributed times between
// them.
func (r *runner) generate(ctx context.Context, s Stream, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 7))
	due := r.started
	for n := 0; ; n++ {
		interval := rng.ExpFloat64() / (s.Rate * r.surgeFactor(s, due))
		due = due.Add(time.Duration(interval * float64(time.Second)))
		if due.Sub(r.started) > r.plan.Load.Duration || !waitUntil(ctx, due) {
			return
		}
		conforming := r.conformance.conforms(s, due)
		select {
		case r.inFlight <- struct{}{}:
		default:
			r.result.add(s, due, CallResult{Outcome: "not_sent", Conforming: conforming})
			continue
		}
		r.wg.Add(1)
		go r.runCall(ctx, s, n, due, conforming)
	}
}

// surgeFactor returns the factor on the rate of a stream at a time.
func (r *runner) surgeFactor(s Stream, at time.Time) float64 {
	if r.selectiveSurge && !s.SurgeOnly {
		return 1
	}
	elapsed := at.Sub(r.started)
	load := r.plan.Load
	if load.SurgeFor > 0 && elapsed >= load.SurgeAt && elapsed < load.SurgeAt+load.SurgeFor {
		return load.SurgeFactor
	}
	return 1
}

// waitUntil waits until a time; it reports false if ctx is done before.
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

// runCall sends a call, retries it as the plan says and records the result.
func (r *runner) runCall(ctx context.Context, s Stream, n int, due time.Time, conforming bool) {
	defer r.wg.Done()
	defer func() { <-r.inFlight }()
	path := strings.ReplaceAll(s.Path, "{n}", strconv.Itoa(n))
	action := fmt.Sprintf("%s-%d-%d", s.Name, r.plan.Load.Seed, n)
	var out CallResult
	for attempt := 0; ; attempt++ {
		out = r.send(ctx, s, path, action)
		out.Attempts = attempt + 1
		if out.Success || attempt >= r.plan.Load.Retries || !retryable(out) {
			break
		}
		if !waitUntil(ctx, time.Now().Add(r.plan.Load.Backoff<<attempt)) {
			break
		}
	}
	out.Latency = time.Since(due)
	out.Conforming = conforming
	out.LedgerKey = action + " " + path
	r.result.add(s, due, out)
}

func retryable(out CallResult) bool {
	return out.Status == 0 || out.Status >= http.StatusInternalServerError || out.Status == http.StatusTooManyRequests || out.Outcome == "action_running"
}

// send makes one attempt at a call.
func (r *runner) send(ctx context.Context, s Stream, path, action string) CallResult {
	ctx, cancel := context.WithTimeout(ctx, r.plan.Load.Timeout)
	defer cancel()
	targets := r.plan.Load.Targets
	if len(s.Targets) > 0 {
		targets = s.Targets
	}
	target := targets[r.nextTarget.Add(1)%uint64(len(targets))]
	req, err := http.NewRequestWithContext(ctx, s.Method, "http://"+target+path, requestBody(s))
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
	return classify(resp, path)
}

func requestBody(s Stream) io.Reader {
	if s.BodyBytes == 0 {
		return nil
	}
	return bytes.NewReader(make([]byte, s.BodyBytes))
}

// classify reads a response and decides whether it is complete and belongs to the
// call.
func classify(resp *http.Response, path string) CallResult {
	data, err := io.ReadAll(resp.Body)
	out := CallResult{Status: resp.StatusCode}
	if err != nil {
		out.Outcome = "cut_short"
		return out
	}
	if resp.StatusCode != http.StatusOK {
		out.Outcome, out.NotRun = refusalReason(data, resp.StatusCode)
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

// refusalReason returns the reason in a problem document, or the status when the body
// is something else.
func refusalReason(data []byte, status int) (reason string, notRun bool) {
	var p proxy.Problem
	if json.Unmarshal(data, &p) == nil && p.Reason != "" {
		return string(p.Reason), p.NotRun
	}
	return "status_" + strconv.Itoa(status), false
}
