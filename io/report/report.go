// Package report turns the results of loads into the figures that operators
// compare, and into a page with plots.
//
// # Usage
//
//	row, err := report.Collect(dir, "surge", "managed")   // of one run
//	err = report.WriteSummary(path, rows)
//	err = report.WritePage(path, rows)
//
// A run's folder holds load.json, ledgers.json, cpu and the trial's files. The
// page is one file without outside parts. Times are in seconds unless a name
// says otherwise.
package report

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"chicorymast/core/fault"
	"chicorymast/io/load"
	"chicorymast/io/stub"
	"chicorymast/io/trial"
)

// Row is the figures of one scenario in one mode.
type Row struct {
	Scenario string `json:"scenario"`
	Mode     string `json:"mode"`
	// Goodput is the share of whole answers among all calls; during the
	// trouble it is DisturbedGoodput, in calls a second against the capacity.
	Goodput             float64 `json:"goodput"`
	DisturbedGoodput    float64 `json:"goodput_of_capacity"`
	RecoverySec         float64 `json:"recovery_s"`
	WorstWorkspaceShare float64 `json:"worst_workspace_share"`
	WrongfulRefusals    float64 `json:"wrongful_refusals"`
	OverRate            float64 `json:"over_rate"`
	DuplicateRuns       int     `json:"duplicate_runs"`
	FalseNotRun         int     `json:"false_not_run"`
	// RunsPerSuccess is how many runs at all stand-ins one whole action cost.
	RunsPerSuccess float64 `json:"runs_per_whole"`
	P50Ms          float64 `json:"p50_ms"`
	P99Ms          float64 `json:"p99_ms"`
	// CPUShare is the mean part of a core that a daemon used.
	CPUShare float64        `json:"cpu_share"`
	Outcomes map[string]int `json:"outcomes"`
	Timeline []load.Second  `json:"timeline"`
}

// notRecovered is the recovery time of a run that did not recover.
const notRecovered = -1

// Collect works out the figures of one run.
func Collect(dir string, layout trial.Layout, mode string) (row Row, err error) {
	defer fault.Note(&err, "collect %s", dir)
	var r load.Result
	if err := readJSON(filepath.Join(dir, "load.json"), &r); err != nil {
		return row, err
	}
	var ledgers []stub.Ledger
	if err := readJSON(filepath.Join(dir, "ledgers.json"), &ledgers); err != nil {
		return row, err
	}
	row = Row{Scenario: layout.Scenario.Name, Mode: mode, Outcomes: r.Total.Outcomes, Timeline: r.Timeline}
	row.Goodput = ratio(r.Total.Successes, r.Total.Offered)
	row.P50Ms, row.P99Ms = r.Total.P50Ms, r.Total.P99Ms
	row.fromTimeline(layout)
	row.fromWorkspaces(layout, &r)
	row.fromLedgers(&r, ledgers)
	row.CPUShare = readCPU(filepath.Join(dir, "cpu"), r.Seconds)
	return row, nil
}

func ratio(a, b int) float64 {
	return float64(a) / float64(max(1, b))
}

// fromTimeline finds goodput during the trouble and the time to recover.
func (row *Row) fromTimeline(l trial.Layout) {
	s := l.Scenario
	from, to := int(s.SurgeAt.Seconds()), int(s.DisturbanceEnd.Seconds())
	if from == 0 {
		from = min(to, 8)
	}
	whole, seconds := 0, 0
	for i := from + 1; i < to && i < len(row.Timeline); i++ {
		whole += row.Timeline[i].Successes
		seconds++
	}
	if seconds > 0 {
		row.DisturbedGoodput = float64(whole) / float64(seconds) / l.Capacity()
	}
	if s.DisturbanceEnd > 0 {
		row.RecoverySec = recovery(row.Timeline, to)
	}
}

// recovery returns after how many seconds at least 95% of the calls due are
// whole again for two seconds in a row.
func recovery(t []load.Second, end int) float64 {
	const normal = 0.95
	good := func(i int) bool { return ratio(t[i].Successes, t[i].Offered) >= normal }
	for i := end; i+1 < len(t)-1; i++ {
		if good(i) && good(i+1) {
			return float64(i - end)
		}
	}
	return notRecovered
}

// fromWorkspaces finds the worst served one and what was refused wrongly.
func (row *Row) fromWorkspaces(l trial.Layout, r *load.Result) {
	type sums struct{ inside, offered, wrongful, served int }
	by := map[string]*sums{}
	for _, s := range r.Streams {
		if by[s.Workspace] == nil {
			by[s.Workspace] = &sums{}
		}
		w := by[s.Workspace]
		w.inside += s.Conforming
		w.offered += s.Offered
		w.wrongful += s.WrongfulRefusals
		w.served += s.Successes
	}
	row.WorstWorkspaceShare = 1
	wrongful, inside := 0, 0
	for _, t := range l.Workspaces {
		w := by[string(t.Name)]
		// What its rate allows is what a workspace is owed, however much it sends.
		row.WorstWorkspaceShare = min(row.WorstWorkspaceShare, ratio(w.served, w.inside))
		if w.inside == w.offered {
			// One that sends more can't say which of its calls were inside.
			wrongful += w.wrongful
			inside += w.inside
		}
		row.OverRate += max(0, float64(w.served)-(t.Burst+t.Rate*r.Seconds))
	}
	row.WrongfulRefusals = ratio(wrongful, inside)
}

// fromLedgers compares what callers were told with what ran.
func (row *Row) fromLedgers(r *load.Result, ledgers []stub.Ledger) {
	runs := map[string]int{}
	total := 0
	for _, l := range ledgers {
		total += l.Served
		for key, n := range l.Runs {
			runs[key] += n
		}
	}
	for _, n := range runs {
		row.DuplicateRuns += n - 1
	}
	for _, key := range r.NotRun {
		if runs[key] > 0 {
			row.FalseNotRun++
		}
	}
	row.RunsPerSuccess = float64(total) / float64(max(1, r.Total.Successes))
}

// readCPU reads the CPU seconds of all daemons, one a line.
func readCPU(path string, seconds float64) float64 {
	data, err := os.ReadFile(path)
	if err != nil || seconds == 0 {
		return 0
	}
	sum, n := 0.0, 0
	for line := range strings.FieldsSeq(string(data)) {
		if v, err := strconv.ParseFloat(line, 64); err == nil {
			sum += v
			n++
		}
	}
	return sum / float64(max(1, n)) / seconds
}

func readJSON(path string, into any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, into)
}
