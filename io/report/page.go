package report

import (
	"bytes"
	"encoding/json"
	"html/template"
	"os"

	"chicorymast/core/fault"
	"chicorymast/io/load"
)

const fileMode = 0o644

// WriteSummary writes the rows to a JSON file.
func WriteSummary(path string, rows []Row) (err error) {
	defer fault.Note(&err, "write summary %s", path)
	data, err := json.MarshalIndent(rows, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, fileMode)
}

// ReadSummary reads a file that WriteSummary wrote. If the file does not exist, the
// summary is empty.
func ReadSummary(path string) (rows []Row, err error) {
	defer fault.Note(&err, "read summary %s", path)
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return rows, json.Unmarshal(data, &rows)
}

// WritePage writes the rows to an HTML file without external resources, with a table
// and a plot for each run.
func WritePage(path string, rows []Row) (err error) {
	defer fault.Note(&err, "write page %s", path)
	var b bytes.Buffer
	if err := page.Execute(&b, rows); err != nil {
		return err
	}
	return os.WriteFile(path, b.Bytes(), fileMode)
}

// bar is the bar for one second in a plot; all fields are in pixels.
type bar struct{ X, Offered, Successes int }

const (
	plotHeight = 90
	barWidth   = 8
)

func bars(t []load.Second) []bar {
	peak := 1
	for _, s := range t {
		peak = max(peak, s.Offered)
	}
	out := make([]bar, len(t))
	for i, s := range t {
		out[i] = bar{X: i * barWidth, Offered: s.Offered * plotHeight / peak, Successes: s.Successes * plotHeight / peak}
	}
	return out
}

var page = template.Must(template.New("page").Funcs(template.FuncMap{
	"bars": bars,
	"top":  func(h int) int { return plotHeight - h },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>chicorymast: measurements</title>
<style>
body{font:14px sans-serif;margin:2em;color:#222}
table{border-collapse:collapse}
td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}
td:first-child,th:first-child{text-align:left}
.offered{fill:#ddd}.whole{fill:#3a7d44}
h2{margin-top:1.5em}
</style></head><body>
<h1>Measurements</h1>
<p>Grey: calls due in each second. Green: those of them that succeeded.</p>
<table><tr><th>scenario</th><th>mode</th><th>goodput</th><th>of capacity in trouble</th><th>recovery s</th><th>worst workspace</th>
<th>wrongful refusals</th><th>over rate</th><th>second runs</th><th>false not run</th><th>runs per whole</th><th>p50 ms</th><th>p99 ms</th><th>CPU share</th></tr>
{{range .}}<tr><td>{{.Scenario}}</td><td>{{.Mode}}</td><td>{{printf "%.4f" .Goodput}}</td><td>{{printf "%.3f" .DisturbedGoodput}}</td>
<td>{{printf "%.0f" .RecoverySec}}</td><td>{{printf "%.4f" .WorstWorkspaceShare}}</td><td>{{printf "%.5f" .WrongfulRefusals}}</td><td>{{printf "%.0f" .OverRate}}</td>
<td>{{.DuplicateRuns}}</td><td>{{.FalseNotRun}}</td><td>{{printf "%.2f" .RunsPerSuccess}}</td><td>{{printf "%.1f" .P50Ms}}</td><td>{{printf "%.1f" .P99Ms}}</td>
<td>{{printf "%.4f" .CPUShare}}</td></tr>{{end}}</table>
{{range .}}<h2>{{.Scenario}}, {{.Mode}}</h2>
<svg width="640" height="95" role="img" aria-label="calls over time">
{{range bars .Timeline}}<rect class="offered" x="{{.X}}" y="{{top .Offered}}" width="7" height="{{.Offered}}"/>
<rect class="whole" x="{{.X}}" y="{{top .Successes}}" width="7" height="{{.Successes}}"/>{{end}}
</svg>
<p>{{range $reason, $n := .Outcomes}}{{$reason}} {{$n}} &nbsp; {{end}}</p>{{end}}
</body></html>
`))
