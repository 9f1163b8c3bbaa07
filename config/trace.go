package config

// Exporter says where spans go.
type Exporter string

// The exporters.
const (
	ExporterNone Exporter = "none"
	ExporterFile Exporter = "file"
)

// Trace is the section [trace].
type Trace struct {
	Exporter Exporter `ini:"exporter"`
	// File takes spans as JSON lines.
	File string `ini:"file"`
	// Sample is the share of actions traced when the caller has not decided.
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
