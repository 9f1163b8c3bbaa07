package halt

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAccept(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	const delay, timeout = 2500 * time.Millisecond, 5500 * time.Millisecond
	for _, tc := range []struct {
		name  string
		stop  Stop
		after time.Duration
		limit time.Duration
		want  Verdict
	}{
		{"no stop", Stop{}, time.Hour, 5 * time.Second, Run{5 * time.Second}},
		{"a short call during the delay", New(start, delay, timeout), time.Second, time.Second, Run{time.Second}},
		{"a long call is answered before the end", New(start, delay, timeout), 2 * time.Second, 5 * time.Second, Run{3300 * time.Millisecond}},
		{"the last moment of the delay", New(start, delay, timeout), delay, 5 * time.Second, Run{2800 * time.Millisecond}},
		{"after the delay", New(start, delay, timeout), delay + 1, time.Second, Refuse{}},
		{"after the end", New(start, delay, timeout), time.Minute, time.Second, Refuse{}},
		{"too little is left of a long delay", New(start, 5*time.Second, timeout), 4500 * time.Millisecond, 5 * time.Second, Refuse{}},
		{"enough is left for a short call", New(start, 5*time.Second, timeout), 4500 * time.Millisecond, 500 * time.Millisecond, Run{500 * time.Millisecond}},
		{"no delay", New(start, 0, timeout), time.Millisecond, time.Second, Refuse{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, tc.stop.Accept(start.Add(tc.after), tc.limit), tc.want)
		})
	}
}
