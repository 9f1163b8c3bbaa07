package event

import (
	"bytes"
	"log"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A peer that sends garbage must not fill the log with it.
func TestLibraryMessagesAreShortEvents(t *testing.T) {
	var out bytes.Buffer
	l, err := Open(&out, "info", "json")
	assert.NilError(t, err)
	l.CaptureStandardLog()
	t.Cleanup(func() {
		log.SetOutput(os.Stderr)
		log.SetFlags(log.LstdFlags)
	})
	log.Printf("unsolicited response %q", strings.Repeat("\x00garbage", 1000))
	l.Sync()
	assert.Assert(t, strings.Contains(out.String(), `"event":1704`))
	assert.Assert(t, strings.Contains(out.String(), "unsolicited response"))
	assert.Assert(t, out.Len() < 2*maxLibraryText+200, "%d bytes", out.Len())
	assert.Equal(t, strings.Count(out.String(), "\n"), 1)
}
