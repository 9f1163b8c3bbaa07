// Package report computes the metrics of a run from its load result and the ledgers of
// the stub upstreams, and renders the metrics of several runs as an HTML page.
//
// # Usage
//
//	row, err := report.Collect(dir, layout, "managed")   // metrics of one run
//	err = report.WriteSummary(path, rows)
//	err = report.WritePage(path, rows)
//
// The folder of a run holds load.json, ledgers.json, cpu and the files of the trial
// fleet. Times are in seconds unless a name has another unit.
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

// Row is the metrics of one run: a scenario in one mode of the daemons.
type Row struct {
	Scenario string `json:"scenario"`
	Mode     string `json:"mode"`
	// Goodput is the share of calls that succeeded. DisturbedGoodput is the rate of
	// successful calls during the surge or fault, relative to the capacity.
	Goodput          float64 `json:"goodput"`
	DisturbedGoodput float64 `json:"goodput_of_capacity"`
	// RecoverySec is the time from the end of the disturbance until normal goodput.
	RecoverySec float64 `json:"recovery_s"`
	// WorstWorkspaceShare is the lowest ratio of successful to conforming calls of a
	// workspace.
	WorstWorkspaceShare float64 `json:"worst_workspace_share"`
	// WrongfulRefusals is the share of conforming calls that were refused as over the
	// rate, for the workspaces that kept to their rate.
	WrongfulRefusals float64 `json:"wrongful_refusals"`
	// OverRate is the number of successful calls above what the grants allow.
	OverRate float64 `json:"over_rate"`
	// DuplicateRuns is the number of runs of an action after its first one.
	DuplicateRuns int `json:"duplicate_runs"`
	// FalseNotRun is the number of calls that ran although the response said that they
	// had not.
	FalseNotRun int `json:"false_not_run"`
	// RunsPerSuccess is the number of runs at all stub upstreams per successful action.
	RunsPerSuccess float64 `json:"runs_per_whole"`
	P50Ms          float64 `json:"p50_ms"`
	P99Ms          float64 `json:"p99_ms"`
	// CPUShare is the mean CPU use of a daemon, as a share of one core.
	CPUShare float64        `json:"cpu_share"`
	Outcomes map[string]int `json:"outcomes"`
	Timeline []load.Second  `json:"timeline"`
}

// notRecovered is the value of RecoverySec for a run that did not recover.
const notRecovered = -1

// Collect computes the metrics of the run whose files are in dir.
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
	row.setTimelineMetrics(layout)
	row.setWorkspaceMetrics(layout, &r)
	row.setLedgerMetrics(&r, ledgers)
	row.CPUShare = readCPU(filepath.Join(dir, "cpu"), r.Seconds)
	return row, nil
}

func ratio(a, b int) float64 {
	return float64(a) / float64(max(1, b))
}

// setTimelineMetrics computes the goodput during the disturbance and the recovery time.
func (row *Row) setTimelineMetrics(l trial.Layout) {
	s := l.Scenario
	from, to := int(s.SurgeAt.Seconds()), int(s.DisturbanceEnd.Seconds())
	if from == 0 {
		from = min(to, 8)
	}
	successes, seconds := 0, 0
	for i := from + 1; i < to && i < len(row.Timeline); i++ {
		successes += row.Timeline[i].Successes
		seconds++
	}
	if seconds > 0 {
		row.DisturbedGoodput = float64(successes) / float64(seconds) / l.Capacity()
	}
	if s.DisturbanceEnd > 0 {
		row.RecoverySec = recovery(row.Timeline, to)
	}
}

// recovery returns the seconds from end until at least 95% of the calls succeed in two
// consecutive seconds.
func recovery(t []load.Second, end int) float64 {
	const normalShare = 0.95
	normal := func(i int) bool { return ratio(t[i].Successes, t[i].Offered) >= normalShare }
	for i := end; i+1 < len(t)-1; i++ {
		if normal(i) && normal(i+1) {
			return float64(i - end)
		}
	}
	return notRecovered
}

// setWorkspaceMetrics computes the lowest share of successful calls of a workspace, the
// wrongful refusals and the calls over the rate.
func (row *Row) setWorkspaceMetrics(l trial.Layout, r *load.Result) {
	type sums struct{ conforming, offered, wrongful, successes int }
	byName := map[string]*sums{}
	for _, s := range r.Streams {
		if byName[s.Workspace] == nil {
			byName[s.Workspace] = &sums{}
		}
		w := byName[s.Workspace]
		w.conforming += s.Conforming
		w.offered += s.Offered
		w.wrongful += s.WrongfulRefusals
		w.successes += s.Successes
	}
	row.WorstWorkspaceShare = 1
	wrongful, conforming := 0, 0
	for _, workspace := range l.Workspaces {
		w := byName[string(workspace.Name)]
		// The share is relative to the conforming calls: a workspace is entitled to its
		// granted rate, however many calls it sends.
		row.WorstWorkspaceShare = min(row.WorstWorkspaceShare, ratio(w.successes, w.conforming))
		if w.conforming == w.offered {
			// If a workspace exceeds its rate, the daemons need not refuse the same calls
			// that the load generator counts as not conforming.
			wrongful += w.wrongful
			conforming += w.conforming
		}
		row.OverRate += max(0, float64(w.successes)-(workspace.Burst+workspace.Rate*r.Seconds))
	}
	row.WrongfulRefusals = ratio(wrongful, conforming)
}

// setLedgerMetrics compares the responses to callers with the runs at the stub upstreams.
func (row *Row) setLedgerMetrics(r *load.Result, ledgers []stub.Ledger) {
	runs := map[string]int{}
	total := 0
	for _, ledger := range ledgers {
		total += ledger.Served
		for key, n := range ledger.Runs {
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

// readCPU returns the mean CPU use of a daemon as a share of one core. The file has
// the CPU seconds of each daemon, one number a line.
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

func readJSON(path string, dst any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, dst)
}
