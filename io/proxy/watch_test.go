package proxy

import (
	"context"
	"errors"
	"net/http/httptrace"
	"net/textproto"
	"testing"

	"gotest.tools/v3/assert"
)

// A nested call has less time than the watchdog gives a peer, so silence must be known
// before an attempt ends.
func TestSilentPeerIsSuspectedBeforeTheAttemptIsGivenUp(t *testing.T) {
	suspected, alive := make(chan struct{}, 2), 0
	ctx, w, stop := withWatchdog(context.Background(), func() { suspected <- struct{}{} }, func() { alive++ })
	defer stop()
	<-suspected
	assert.NilError(t, ctx.Err(), "the attempt goes on")
	assert.Assert(t, w.silent.Load())
	t.Run("a sign of life ends the suspicion", func(t *testing.T) {
		assert.NilError(t, httptrace.ContextClientTrace(ctx).Got1xxResponse(102, textproto.MIMEHeader{}))
		assert.Assert(t, !w.silent.Load())
		assert.Equal(t, alive, 1)
	})
	t.Run("silence for long ends the attempt", func(t *testing.T) {
		<-suspected
		assert.NilError(t, ctx.Err())
		<-ctx.Done()
		assert.Assert(t, errors.Is(context.Cause(ctx), errPeerSilent))
	})
}
