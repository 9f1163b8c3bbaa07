package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"chicorymast/core/fault"
	"chicorymast/core/ident"
	"chicorymast/io/admin"

	"github.com/google/uuid"
)

// clientOptions are the options of every command that calls the administration
// API.
type clientOptions struct {
	Servers   []string `long:"server" env:"CHICORYMAST_SERVER" env-delim:"," description:"administration address as IP:port; several are tried in order" required:"true"`
	TokenFile string   `long:"token-file" env:"CHICORYMAST_TOKEN_FILE" description:"file that holds the operator's token" required:"true"`
	Output    string   `long:"output" choice:"text" choice:"json" default:"text" description:"output format"`
}

// changeOptions are the options of every command that makes a change.
type changeOptions struct {
	ChangeID string `long:"change-id" description:"identifier of the change; repeat the command with the same one if the outcome of the change is unknown"`
}

func (o *changeOptions) id() ident.ChangeID {
	if o.ChangeID == "" {
		o.ChangeID = uuid.NewString()
	}
	return ident.ChangeID(o.ChangeID)
}

const (
	// clientTimeout limits each request.
	clientTimeout = 10 * time.Second
	// hedgeDelay is how long a server may take to respond before the request is also
	// sent to the next one. A healthy server responds within the time that a change
	// of leader takes.
	hedgeDelay = time.Second
)

// unknownOutcomeError is returned when a change may have been accepted, but no
// response says so.
type unknownOutcomeError struct {
	id    ident.ChangeID
	cause error
}

func (e unknownOutcomeError) Error() string {
	return fmt.Sprintf("the outcome is unknown (%v); repeat the command with --change-id %s to find out", e.cause, e.id)
}

// problemError is an error response of the administration API.
type problemError struct{ admin.Problem }

func (e problemError) Error() string {
	return e.Reason + ": " + e.Detail
}

// get reads a resource and returns the first final response of a server.
func get[T any](o clientOptions, path string) (T, error) {
	return call[T](o, http.MethodGet, path, nil)
}

// change sends a change. If no response says whether it was accepted, the error is
// an unknownOutcomeError.
func change[T any](o clientOptions, id ident.ChangeID, path string, body any) (T, error) {
	result, err := call[T](o, http.MethodPost, path, body)
	var refused problemError
	if err != nil && (!errors.As(err, &refused) || refused.Reason == "outcome_unknown") {
		return result, unknownOutcomeError{id: id, cause: err}
	}
	return result, err
}

// response is the response of one server, or the error of the request.
type response[T any] struct {
	result T
	err    error
}

// final reports whether the response would be the same from any other server.
func (resp response[T]) final() bool {
	var refused problemError
	return resp.err == nil || (errors.As(resp.err, &refused) && refused.Reason != "not_ready")
}

// call sends a request to the servers in order until one gives a final response.
// After hedgeDelay without a response it also tries the next server and goes on
// waiting for the first. Sending a request twice is safe: reads have no effect, and
// a change is deduplicated by its id.
func call[T any](o clientOptions, method, path string, body any) (result T, err error) {
	token, err := readToken(o.TokenFile)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	responses := make(chan response[T], len(o.Servers))
	send := func(server string) {
		result, err := callOne[T](ctx, server, token, method, path, body)
		responses <- response[T]{result, err}
	}
	tried, pending := 0, 0
	var last response[T]
	for tried < len(o.Servers) || pending > 0 {
		var hedge <-chan time.Time
		if tried < len(o.Servers) {
			go send(o.Servers[tried])
			tried, pending = tried+1, pending+1
			hedge = time.After(hedgeDelay)
		}
		select {
		case last = <-responses:
			pending--
			if last.final() {
				return last.result, last.err
			}
		case <-hedge:
		}
	}
	return last.result, last.err
}

// callOne sends a request to one server.
func callOne[T any](ctx context.Context, server, token, method, path string, body any) (result T, err error) {
	defer fault.Note(&err, "%s %s at %s", method, path, server)
	data, err := json.Marshal(body)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(data))
	if err != nil {
		return result, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return result, err
	}
	defer resp.Body.Close()
	return decodeResponse[T](resp)
}

func decodeResponse[T any](resp *http.Response) (result T, err error) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return result, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var p admin.Problem
		if json.Unmarshal(data, &p) != nil || p.Reason == "" {
			return result, fmt.Errorf("unexpected HTTP status %d", resp.StatusCode)
		}
		return result, problemError{p}
	}
	return result, json.Unmarshal(data, &result)
}

func readToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", usageError{err}
	}
	return strings.TrimSpace(string(data)), nil
}

// print writes v to standard output as JSON, or calls text for the text format.
func (o clientOptions) print(v any, text func(w io.Writer)) error {
	if o.Output != "json" {
		text(os.Stdout)
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
