package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"chicorymast/config"
	"chicorymast/core/ident"
	"chicorymast/core/intent"
	"chicorymast/core/schema"
	"chicorymast/io/admin"
)

// checkCommand has its own --server, because that of other commands is required and
// may be set in the environment. Without the option, no daemon is contacted.
type checkCommand struct {
	Config    string   `long:"config" short:"c" description:"settings file to validate"`
	Intent    string   `long:"intent" description:"intent file to validate"`
	Strict    bool     `long:"strict" description:"exit with 1 if there are warnings"`
	JSON      bool     `long:"json" description:"print the result as JSON"`
	Servers   []string `long:"server" description:"administration address as IP:port, to compare the intent with the configuration in force; several are tried in order"`
	TokenFile string   `long:"token-file" env:"CHICORYMAST_TOKEN_FILE" description:"file that holds the operator's token, needed with --server"`
}

func init() {
	register("check", "validate files",
		"Validates a settings file or an intent file. For an intent it also warns of settings that never take effect or contradict each other, "+
			"and with --server it shows what confirming it would change. Without --server it does not contact a daemon. "+
			"It exits with 0 if there are no errors, with 1 if there are warnings and --strict is given or the servers gave no plan, and with 2 if there are errors.",
		&checkCommand{})
}

// checkReport is the result of a check.
type checkReport struct {
	// Valid are the files without errors.
	Valid []string `json:"valid"`
	// Errors holds the first error, if there is one.
	Errors   []checkError     `json:"errors"`
	Warnings []intent.Finding `json:"warnings"`
	// Plan is nil unless it was requested and received.
	Plan *checkPlan `json:"plan,omitempty"`
}

// checkError is an error in a file. Section and key are empty if it concerns the whole file.
type checkError struct {
	File    string `json:"file"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Problem string `json:"problem"`
}

// checkPlan is a plan without the patch: a check can't be confirmed.
type checkPlan struct {
	Base     ident.Revision  `json:"base"`
	Changes  []intent.Change `json:"changes"`
	Warnings []string        `json:"warnings"`
}

// Execute validates the given files and prints the result, also if there are errors.
func (c *checkCommand) Execute([]string) error {
	if err := c.validateUsage(); err != nil {
		return err
	}
	report, err := c.run()
	return errors.Join(err, c.print(os.Stdout, report), c.strictness(report))
}

// run checks the files. The report is complete up to the error.
func (c *checkCommand) run() (checkReport, error) {
	report := checkReport{Valid: []string{}, Errors: []checkError{}, Warnings: []intent.Finding{}}
	err := c.check(&report)
	var invalid *schema.Error
	if errors.As(err, &invalid) {
		report.Errors = append(report.Errors, checkError{File: invalid.File, Section: invalid.Section, Key: invalid.Key, Problem: invalid.Problem})
	}
	return report, err
}

func (c *checkCommand) validateUsage() error {
	switch {
	case c.Config == "" && c.Intent == "":
		return usageError{errors.New("no file given: use --config or --intent")}
	case len(c.Servers) > 0 && c.Intent == "":
		return usageError{errors.New("--server needs --intent")}
	case len(c.Servers) > 0 && c.TokenFile == "":
		return usageError{errors.New("--server needs --token-file")}
	}
	return nil
}

// check fills in the report up to the first error.
func (c *checkCommand) check(report *checkReport) error {
	if c.Config != "" {
		if _, err := config.Load(c.Config); err != nil {
			return err
		}
		report.Valid = append(report.Valid, c.Config)
	}
	if c.Intent == "" {
		return nil
	}
	text, err := os.ReadFile(c.Intent)
	if err != nil {
		return usageError{err}
	}
	in, err := intent.Parse(c.Intent, text)
	if err != nil {
		return err
	}
	report.Valid = append(report.Valid, c.Intent)
	report.Warnings = append(report.Warnings, intent.Inspect(in)...)
	if len(c.Servers) == 0 {
		return nil
	}
	req := admin.PlanRequest{Name: filepath.Base(c.Intent), Text: string(text)}
	plan, err := call[admin.Plan](clientOptions{Servers: c.Servers, TokenFile: c.TokenFile}, "POST", "/v1/plans", req)
	if err != nil {
		return err
	}
	report.Plan = &checkPlan{Base: plan.Base, Changes: plan.Changes, Warnings: plan.Warnings}
	return nil
}

// strictness returns an error if warnings are to be treated as one.
func (c *checkCommand) strictness(report checkReport) error {
	count := len(report.Warnings)
	if report.Plan != nil {
		count += len(report.Plan.Warnings)
	}
	if !c.Strict || count == 0 {
		return nil
	}
	return fmt.Errorf("warnings: %d", count)
}

func (c *checkCommand) print(w io.Writer, report checkReport) error {
	if c.JSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")
		return enc.Encode(report)
	}
	for _, file := range report.Valid {
		fmt.Fprintln(w, file, "is valid")
	}
	for _, finding := range report.Warnings {
		fmt.Fprintln(w, "  warning:", finding)
	}
	if p := report.Plan; p != nil {
		printPlan(w, admin.Plan{Base: p.Base, Changes: p.Changes, Warnings: p.Warnings})
	}
	return nil
}
