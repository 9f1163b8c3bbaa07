package lines

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"strings"
	"testing"
	"time"

	"chicorymast/core/ident"
	"chicorymast/io/event"

	"gotest.tools/v3/assert"
)

func mustRead(t testing.TB, text string) []Line {
	t.Helper()
	logs, err := Read(strings.NewReader(text))
	assert.NilError(t, err)
	return logs
}

func record(seconds float64, vm ident.VM, id event.ID, fields string) string {
	at := time.Unix(0, int64(seconds*1e9)).UTC().Format(time.RFC3339Nano)
	return fmt.Sprintf(`{"level":"info","ts":%q,"msg":"m","vm":%q,%s,"event":%d}`+"\n", at, vm, fields, id)
}

// recorded is a request that failed since the nested call of its upstream was refused
// beside a third VM, whose clock is 7 s ahead.
var recorded = record(10.0, "entry", event.RequestRefused, `"request":"other","reason":"overload"`) +
	record(10.5, "middle", event.CallNotRetried, `"request":"child","parent":"top","to":"deep","took_ms":200,"reason":"deadline"`) +
	record(17.4, "deep", event.CallRefused, `"request":"child","reason":"deadline","upstream":"i-1"`) +
	record(10.6, "middle", event.NestedCallFailed, `"request":"top","status":500`) +
	record(10.7, "entry", event.CallNotRetried, `"request":"top","to":"middle","took_ms":600,"reason":"upstream_error"`)

func TestReadSkipsWhatIsNoEvent(t *testing.T) {
	logs := mustRead(t, "  1.25 vm-1 "+recorded+"no event\n{\"half\":\n{\"event\":1}\n")
	assert.Equal(t, len(logs), 5)
	assert.Equal(t, logs[0].VM, ident.VM("entry"))
	assert.Equal(t, logs[0].Event, event.RequestRefused)
}

func TestReadGzipEvenIfItIsCutOff(t *testing.T) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, err := w.Write([]byte(recorded))
	assert.NilError(t, err)
	assert.NilError(t, w.Flush())
	logs, err := Read(&b)
	assert.NilError(t, err)
	assert.Equal(t, len(logs), 5)
}

func TestStoryIncludesNestedCalls(t *testing.T) {
	logs := mustRead(t, recorded)
	assert.Equal(t, len(About(logs, "top")), 4)
	assert.Equal(t, len(About(logs, "child")), 2)
	assert.Equal(t, len(About(logs, "deep")), 2)
	assert.Equal(t, len(About(logs, "nothing")), 0)
}

func TestClocksAreAlignedByCalls(t *testing.T) {
	story := About(mustRead(t, recorded), "top")
	corrections := Align(story)
	assert.DeepEqual(t, corrections, map[ident.VM]time.Duration{"deep": 6900 * time.Millisecond})
	var order []string
	for _, l := range story {
		order = append(order, string(l.VM)+"/"+l.Event.String())
	}
	assert.DeepEqual(t, order, []string{"deep/1902", "middle/1904", "middle/1908", "entry/1904"})
}

func TestReasonsCountOmittedLines(t *testing.T) {
	logs := mustRead(t, recorded+
		record(10.2, "entry", event.RequestRefused, `"request":"x","reason":"overload","input_age_ms":40`)+
		record(10.9, "entry", event.DecisionsOmitted, `"omitted":9,"most":[`+
			`{"of_event":1901,"reason":"overload","route":"r","service":"s","count":7},{"of_event":1902,"reason":"overload","count":2}]`))
	second := time.Unix(10, 0).UTC()
	assert.DeepEqual(t, Reasons(logs), []Sum{
		{Second: second, Reason: "overload", Route: "r", Service: "s", VM: "entry", Age: ageUnknown, Count: 7},
		{Second: second, Reason: "overload", VM: "entry", Age: "<0.1s", Count: 1},
		{Second: second, Reason: "overload", VM: "entry", Age: ageUnknown, Count: 1},
	})
}
