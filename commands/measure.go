package cmds

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"chicorymast/io/report"
	"chicorymast/io/stub"
	"chicorymast/io/trial"
)

type ledgersCommand struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"folder of a running trial fleet"`
	} `positional-args:"yes" required:"true"`
}

type collectCommand struct {
	Layout   string `long:"layout" required:"true" description:"layout of the fleet"`
	Scenario string `long:"scenario" required:"true" description:"scenario that was run"`
	Mode     string `long:"mode" required:"true" description:"mode of the daemons, or another label for the run"`
	Out      string `long:"out" required:"true" description:"folder for summary.json and report.html"`
	Args     struct {
		Dir string `positional-arg-name:"DIR" description:"folder of a trial fleet with the results of a run"`
	} `positional-args:"yes" required:"true"`
}

func init() {
	register("ledgers", "fetch the ledgers of stub upstreams (trials)",
		"Writes the ledgers of all stub upstreams of a trial fleet, which count the runs of each action, to ledgers.json.", &ledgersCommand{})
	register("collect", "add a run to a summary (trials)",
		"Computes the metrics of a run and adds them to summary.json and report.html.", &collectCommand{})
}

// Execute fetches the ledgers. A stub upstream that does not respond is left out.
func (c *ledgersCommand) Execute([]string) error {
	list, err := os.ReadFile(filepath.Join(c.Args.Dir, "stand-ins"))
	if err != nil {
		return usageError{err}
	}
	var ledgers []stub.Ledger
	for line := range strings.Lines(string(list)) {
		fields := strings.Fields(line)
		ledger, err := fetchLedger(fields[len(fields)-1])
		if err != nil {
			fmt.Fprintln(os.Stderr, "cannot fetch ledger:", err)
			continue
		}
		ledgers = append(ledgers, ledger)
	}
	return writeJSON(filepath.Join(c.Args.Dir, "ledgers.json"), ledgers)
}

func fetchLedger(address string) (l stub.Ledger, err error) {
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Get("http://" + address + "/-/ledger")
	if err != nil {
		return l, err
	}
	defer resp.Body.Close()
	return l, json.NewDecoder(resp.Body).Decode(&l)
}

// Execute adds the run to the summary.
func (c *collectCommand) Execute([]string) error {
	layout, err := trial.LayoutByName(c.Layout)
	if err != nil {
		return usageError{err}
	}
	row, err := report.Collect(c.Args.Dir, layout.WithScenario(trial.Scenarios(layout)[c.Scenario]), c.Mode)
	if err != nil {
		return err
	}
	row.Scenario = c.Layout + "/" + c.Scenario
	summary := filepath.Join(c.Out, "summary.json")
	rows, err := report.ReadSummary(summary)
	if err != nil {
		return err
	}
	rows = append(rows, row)
	fmt.Printf("%-18s %-12s goodput %.4f  in trouble %.3f of capacity  recovery %.0f s  worst workspace %.4f  wrongful %.5f\n",
		row.Scenario, row.Mode, row.Goodput, row.DisturbedGoodput, row.RecoverySec, row.WorstWorkspaceShare, row.WrongfulRefusals)
	fmt.Printf("%-31s second runs %d  false not run %d  over rate %.0f  runs per whole %.2f  p50 %.1f ms  p99 %.1f ms  cpu %.4f  %v\n", "",
		row.DuplicateRuns, row.FalseNotRun, row.OverRate, row.RunsPerSuccess, row.P50Ms, row.P99Ms, row.CPUShare, row.Outcomes)
	if err := report.WriteSummary(summary, rows); err != nil {
		return err
	}
	return report.WritePage(filepath.Join(c.Out, "report.html"), rows)
}
