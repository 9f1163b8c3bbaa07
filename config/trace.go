package config

// Exporter selects the destination of trace spans.
type Exporter string

// The exporters. ExporterNone discards all spans.
const (
	ExporterNone Exporter = "none"
	ExporterFile Exporter = "file"
)

// Trace is the section [trace].
type Trace struct {
	Exporter Exporter `ini:"exporter"`
	// File is the path of the span log, one JSON object a line.
	File string `ini:"file"`
	// Sample is the share of actions, from 0 to 1, that are traced when the caller's
	// trace context has no sampling decision.
	Sample float64 `ini:"sample"`
}

func defaultTrace() Trace {
	return Trace{Exporter: ExporterNone, Sample: 0.01}
}

func (t *Trace) check(*Config) (key, problem string) {
	switch {
	case t.Exporter != ExporterNone && t.Exporter != ExporterFile:
		return "exporter", "must be none or file"
	case t.Exporter == ExporterFile && t.File == "":
		return "file", "is missing"
	case t.Sample < 0 || t.Sample > 1:
		return "sample", "must be between 0 and 1"
	}
	return "", ""
}
