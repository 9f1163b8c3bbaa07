package daemon

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"chicorymast/core/board"
	"chicorymast/io/event"

	"gotest.tools/v3/assert"
)

// Guards against an evacuation that begins or ends without a line in the log, and against
// lines for other changes of the configuration.
func TestEvacuationsAreLogged(t *testing.T) {
	var out bytes.Buffer
	log, err := event.Open(&out, "info", "json")
	assert.NilError(t, err)
	b := board.New()
	w := &evacuationWatch{board: b, log: log}
	shows := func(config *board.Config) (lines []string) {
		out.Reset()
		b.Config.Write(config)
		w.tick(time.Unix(1, 0))
		w.tick(time.Unix(2, 0))
		log.Sync()
		for line := range strings.Lines(out.String()) {
			number, dc := "begun ", ""
			if strings.Contains(line, `"event":1207`) {
				number = "ended "
			}
			_, dc, _ = strings.Cut(line, `"data_centre":"`)
			dc, _, _ = strings.Cut(dc, `"`)
			lines = append(lines, number+dc)
		}
		return lines
	}
	assert.DeepEqual(t, shows(evacuated()), []string(nil))
	assert.DeepEqual(t, shows(evacuated("east", "west")), []string{"begun east", "begun west"})
	assert.DeepEqual(t, shows(evacuated("west", "east")), []string(nil))
	assert.DeepEqual(t, shows(evacuated("west", "north")), []string{"begun north", "ended east"})
	assert.DeepEqual(t, shows(evacuated()), []string{"ended north", "ended west"})
}
