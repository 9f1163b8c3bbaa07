package board

import (
	"testing"

	"chicorymast/core/ident"

	"gotest.tools/v3/assert"
)

// Guards against kept commands that are bounded in number, but not in bytes.
func TestRecentCommandsAreBounded(t *testing.T) {
	for _, size := range []int{10, 10_000, 2 * MaxRecentBytes} {
		var recent []AcceptedCommand
		for i := range 2000 {
			recent = AppendRecent(recent, AcceptedCommand{Revision: ident.Revision(i), Command: make([]byte, size)})
			assert.Assert(t, len(recent) <= maxRecent && BytesOf(recent) <= MaxRecentBytes)
		}
		if size < MaxRecentBytes {
			assert.Equal(t, recent[len(recent)-1].Revision, ident.Revision(1999))
		}
	}
}
