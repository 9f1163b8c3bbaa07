package header

import (
	stdjson "encoding/json"
	"net/http"
	"sync"
	"unicode/utf8"

	"github.com/segmentio/encoding/json"
)

// SetCall sets the call header.
func SetCall(h http.Header, c Call) {
	setJSON(h, callHeader, &c)
}

// GetCall decodes the call header. Errors: ErrNoCall.
func GetCall(h http.Header) (c Call, err error) {
	if !decode(first(h, callHeader), &c) || c.Service == "" {
		return Call{}, ErrNoCall
	}
	return c, nil
}

// SetResult sets the result header.
func SetResult(h http.Header, result Result) {
	setJSON(h, resultHeader, &result)
}

// GetResult decodes the result header. It reports false if the header is
// missing or invalid.
func GetResult(h http.Header) (result Result, ok bool) {
	text := first(h, resultHeader)
	if text == "" || !decode(text, &result) {
		return Result{}, false
	}
	return result, true
}

// first returns the first value of a header of which the name is canonical.
func first(h http.Header, name string) string {
	if values := h[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

// buffers holds the buffers in which headers are encoded.
var buffers = sync.Pool{New: func() any {
	const usualSize = 512
	b := make([]byte, 0, usualSize)
	return &b
}}

func setJSON(h http.Header, name string, v any) {
	buffer := buffers.Get().(*[]byte)
	data, err := json.Append((*buffer)[:0], v, json.EscapeHTML)
	if err == nil { // Call and Result always marshal
		h[name] = []string{string(data)}
	}
	*buffer = data
	buffers.Put(buffer)
}

// maxUsualText is more than the length of any header that a daemon sends.
const maxUsualText = 8 << 10

// decode decodes a JSON value; its strings share the memory of one copy of the text. Unusual
// text is left to the standard library, which limits the depth and replaces invalid UTF-8.
func decode(text string, v any) bool {
	data := []byte(text)
	if len(data) > maxUsualText || !utf8.Valid(data) {
		return stdjson.Unmarshal(data, v) == nil
	}
	rest, err := json.Parse(data, v, json.ZeroCopy)
	return err == nil && len(rest) == 0
}
