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

// clientOptions are the options of every command that asks a daemon.
type clientOptions struct {
	Servers   []string `long:"server" env:"CHICORYMAST_SERVER" env-delim:"," description:"administration address IP:port; several are tried in turn" required:"true"`
	TokenFile string   `long:"token-file" env:"CHICORYMAST_TOKEN_FILE" description:"file that holds the operator's token" required:"true"`
	Output    string   `long:"output" choice:"text" choice:"json" default:"text" description:"form of what is printed"`
}

// changeOptions are the options of every command that makes a change.
type changeOptions struct {
	ChangeID string `long:"change-id" description:"identifier of the change; give the same one again to learn the outcome of a change whose answer was lost"`
}

func (o *changeOptions) id() ident.ChangeID {
	if o.ChangeID == "" {
		o.ChangeID = uuid.NewString()
	}
	return ident.ChangeID(o.ChangeID)
}

const (
	// clientTimeout bounds the wait for one server.
	clientTimeout = 10 * time.Second
	// serverPatience is how long a server may be silent before the next one is
	// asked, too; one that works answers within a change of leaders.
	serverPatience = time.Second
)

// lostError is returned when a change was sent but no answer came.
type lostError struct {
	id    ident.ChangeID
	cause error
}

func (e lostError) Error() string {
	return fmt.Sprintf("the outcome is unknown (%v); run the same command again with --change-id %s to learn it", e.cause, e.id)
}

// problemError is a refusal by the administration API.
type problemError struct{ admin.Problem }

func (e problemError) Error() string {
	return e.Reason + ": " + e.Detail
}

// get asks for a resource; the first server that answers decides.
func get[T any](o clientOptions, path string) (T, error) {
	return call[T](o, http.MethodGet, path, nil)
}

// change sends a change. An answer that got lost is never taken for a success.
func change[T any](o clientOptions, id ident.ChangeID, path string, body any) (T, error) {
	answer, err := call[T](o, http.MethodPost, path, body)
	var refused problemError
	if err != nil && (!errors.As(err, &refused) || refused.Reason == "outcome_unknown") {
		return answer, lostError{id: id, cause: err}
	}
	return answer, err
}

// outcome is what one server said.
type outcome[T any] struct {
	answer T
	err    error
}

// final reports whether no other server would say anything else.
func (o outcome[T]) final() bool {
	var refused problemError
	return o.err == nil || (errors.As(o.err, &refused) && refused.Reason != "not_ready")
}

// call asks the servers in turn. One that is silent for a while is waited for
// beside the next one: reads change nothing, and changes carry an id that makes
// the second of them the same change.
func call[T any](o clientOptions, method, path string, body any) (answer T, err error) {
	token, err := readToken(o.TokenFile)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	heard := make(chan outcome[T], len(o.Servers))
	ask := func(server string) {
		answer, err := callOne[T](ctx, server, token, method, path, body)
		heard <- outcome[T]{answer, err}
	}
	asked, pending := 0, 0
	var last outcome[T]
	for asked < len(o.Servers) || pending > 0 {
		var silent <-chan time.Time
		if asked < len(o.Servers) {
			go ask(o.Servers[asked])
			asked, pending = asked+1, pending+1
			silent = time.After(serverPatience)
		}
		select {
		case last = <-heard:
			pending--
			if last.final() {
				return last.answer, last.err
			}
		case <-silent:
		}
	}
	return last.answer, last.err
}

func callOne[T any](ctx context.Context, server, token, method, path string, body any) (answer T, err error) {
	defer fault.Note(&err, "%s %s at %s", method, path, server)
	data, err := json.Marshal(body)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+server+path, bytes.NewReader(data))
	if err != nil {
		return answer, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer, err
	}
	defer resp.Body.Close()
	return readAnswer[T](resp)
}

func readAnswer[T any](resp *http.Response) (answer T, err error) {
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return answer, err
	}
	if resp.StatusCode >= http.StatusBadRequest {
		var p admin.Problem
		if json.Unmarshal(data, &p) != nil || p.Reason == "" {
			return answer, fmt.Errorf("status %d", resp.StatusCode)
		}
		return answer, problemError{p}
	}
	return answer, json.Unmarshal(data, &answer)
}

func readToken(path string) (string, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return "", usageError{err}
	}
	return strings.TrimSpace(string(data)), nil
}

// print writes v as JSON, or calls text when the output is text.
func (o clientOptions) print(v any, text func(w io.Writer)) error {
	if o.Output != "json" {
		text(os.Stdout)
		return nil
	}
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
