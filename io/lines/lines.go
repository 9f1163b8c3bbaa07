// Package lines reads the logs of daemons and tells what they say about one request,
// VM or revision, or about all refusals.
//
// # Usage
//
//	logs, err := lines.ReadFiles(paths)    // plain or gzip
//	story := lines.About(logs, "9c41d07be2a35f68")
//	lines.Align(story)                     // puts differing clocks in line
//	sums := lines.Reasons(logs)
//
// Text before the first brace of a line is skipped, so that logs that a collector has
// prefixed can be read. Lines that are no events are skipped.
package lines

import (
	"bufio"
	"bytes"
	"cmp"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/io/event"
)

// Line is one event of a log.
type Line struct {
	Time    time.Time
	VM      ident.VM
	Event   event.ID
	Message string
	// Fields holds all other fields.
	Fields map[string]any
}

// maxLineLength is the longest line that is read, in bytes.
const maxLineLength = 1 << 20

// ReadFiles reads logs from files, or from standard input if there are none.
func ReadFiles(paths []string) (logs []Line, err error) {
	if len(paths) == 0 {
		return Read(os.Stdin)
	}
	for _, path := range paths {
		lines, err := readFile(path)
		if err != nil {
			return nil, err
		}
		logs = append(logs, lines...)
	}
	return logs, nil
}

func readFile(path string) (logs []Line, err error) {
	defer fault.Note(&err, "read log %s", path)
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return Read(f)
}

// Read reads a log, which may be compressed with gzip.
func Read(r io.Reader) (logs []Line, err error) {
	defer fault.Note(&err, "read log")
	buffered := bufio.NewReader(r)
	if magic, peekErr := buffered.Peek(2); peekErr == nil && bytes.Equal(magic, []byte{0x1f, 0x8b}) {
		unzipped, err := gzip.NewReader(buffered)
		if err != nil {
			return nil, err
		}
		buffered = bufio.NewReader(unzipped)
	}
	scanner := bufio.NewScanner(buffered)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		if l, ok := parse(scanner.Bytes()); ok {
			logs = append(logs, l)
		}
	}
	if err := scanner.Err(); !errors.Is(err, io.ErrUnexpectedEOF) {
		return logs, err
	}
	return logs, nil // a compressed log that is still being written has no end yet
}

func parse(text []byte) (l Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 || json.Unmarshal(text[start:], &l.Fields) != nil {
		return Line{}, false
	}
	number, _ := l.Fields["event"].(float64)
	at, err := time.Parse(time.RFC3339Nano, l.Text("ts"))
	if number == 0 || err != nil {
		return Line{}, false
	}
	l.Time, l.Event, l.VM, l.Message = at, event.ID(number), ident.VM(l.Text("vm")), l.Text("msg")
	for _, name := range []string{"ts", "event", "vm", "msg", "level"} {
		delete(l.Fields, name)
	}
	return l, true
}

// Text returns a field as text, empty if there is none.
func (l Line) Text(name string) string {
	switch v := l.Fields[name].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// Number returns a field as a number. It reports false if it is none.
func (l Line) Number(name string) (n float64, ok bool) {
	n, ok = l.Fields[name].(float64)
	return n, ok
}

// String returns the line without its time.
func (l Line) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%-20s %d %s", l.VM, l.Event, l.Message)
	for _, name := range names {
		text, err := json.Marshal(l.Fields[name])
		if err != nil {
			continue // fields that were read as JSON can be written as JSON
		}
		fmt.Fprintf(&b, " %s=%s", name, text)
	}
	return b.String()
}

// subjects are the fields by which About finds lines.
var subjects = []string{"request", "parent", "upstream", "to", "revision", "fingerprint", "node", "leader"}

// About returns the lines about a request and all calls made for it, or about a VM,
// an upstream or a revision, in order of time.
func About(logs []Line, id string) (story []Line) {
	wanted := map[string]bool{id: true}
	for grown := true; grown; {
		grown = false
		for _, l := range logs {
			parent, request := l.Text("parent"), l.Text("request")
			if parent != "" && request != "" && wanted[parent] && !wanted[request] {
				wanted[request], grown = true, true
			}
		}
	}
	for _, l := range logs {
		about := string(l.VM) == id
		for _, name := range subjects {
			if text := l.Text(name); text != "" && wanted[text] {
				about = true
			}
		}
		if about {
			story = append(story, l)
		}
	}
	sortByTime(story)
	return story
}

func sortByTime(list []Line) {
	slices.SortStableFunc(list, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event)) })
}
