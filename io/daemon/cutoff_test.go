package daemon

import (
	"fmt"
	"testing"

	"chicorymast/io/trial"
)

// TestServesWithoutAnyControlDaemon takes away the only control daemon, which
// is the only named relay, too. Daemons of each data centre then keep each
// other known through stand-ins, plain reads go on, and an upstream that
// restarts is found again.
func TestServesWithoutAnyControlDaemon(t *testing.T) {
	layout := trial.Small()
	layout.Controls = 1
	f := newFleet(t, layout)
	f.setUp()
	f.stopDaemon("control-1")
	standIn := f.standIn("katalog-2")
	f.stubs["katalog-2"].end(t)
	delete(f.stubs, "katalog-2")
	knows := func(want int) func() string {
		return func() string {
			got := len(f.daemons["objednavky-2"].daemon.board.Members.Read().ByService["katalog"])
			if got < want {
				return fmt.Sprintf("objednavky-2 knows %d upstreams of katalog, want %d", got, want)
			}
			return ""
		}
	}
	f.startStub(standIn)
	eventually(t, func() string {
		for _, e := range f.daemons["objednavky-2"].daemon.board.Members.Read().ByService["katalog"] {
			if e.VM == "katalog-2" {
				return ""
			}
		}
		return "katalog-2 is not known in its data centre"
	})
	eventually(t, knows(1))
	for i := range 20 {
		path := fmt.Sprintf("/katalog/cut-%d", i)
		eventually(t, func() string {
			if a := f.call(request{at: "objednavky-2", path: path, workspace: "mlyn"}); a.reply.Path != path {
				return fmt.Sprintf("%d %s", a.status, a.body)
			}
			return ""
		})
	}
}
