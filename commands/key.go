package cmds

import (
	"crypto/rand"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"chicorymast/core/ident"
	"chicorymast/core/state"
	"chicorymast/io/admin"
)

type keyCommand struct{}

type keyGrantCommand struct {
	clientOptions
	changeOptions
	Expires time.Duration `long:"expires" description:"validity of the key; without it the key is valid until it is withdrawn"`
	KeyFile string        `long:"key-file" description:"file for the key; a key that it already contains is granted, so that the command can be repeated"`
	Args    struct {
		Workspace ident.Workspace `positional-arg-name:"WORKSPACE"`
	} `positional-args:"yes" required:"true"`
}

type keyWithdrawCommand struct {
	clientOptions
	changeOptions
	Args struct {
		Key ident.KeyID `positional-arg-name:"KEY-ID" description:"as printed by key list"`
	} `positional-args:"yes" required:"true"`
}

type keyListCommand struct{ clientOptions }

func init() {
	register("key", "grant, withdraw and list keys", "Grants, withdraws and lists the keys of workspaces.", &keyCommand{})
	registerUnder("key", "grant", "create a key",
		"Creates a key for a workspace and prints it once; the control daemons store only its digest.", &keyGrantCommand{})
	registerUnder("key", "withdraw", "withdraw a key",
		"Withdraws a key on every VM, also for callers with an open connection.", &keyWithdrawCommand{})
	registerUnder("key", "list", "list keys",
		"Lists the identifiers of the valid keys by workspace; the keys themselves are not stored.", &keyListCommand{})
}

// Execute creates a key, unless the key file has one, and grants it.
func (c *keyGrantCommand) Execute([]string) error {
	key, err := c.loadOrCreateKey()
	if err != nil {
		return err
	}
	id := c.id()
	digest := ident.DigestKey(key)
	req := admin.KeyGrant{ChangeID: id, Digest: digest, Workspace: c.Args.Workspace}
	if c.Expires > 0 {
		req.ExpiresMillis = time.Now().Add(c.Expires).UnixMilli()
	}
	r, err := change[state.Result](c.clientOptions, id, "/v1/keys", req)
	if err != nil {
		return err
	}
	granted := struct {
		state.Result
		KeyID ident.KeyID `json:"key_id"`
		Key   string      `json:"key,omitempty"`
	}{Result: r, KeyID: ident.PublicID(digest)}
	if c.KeyFile == "" {
		granted.Key = key
	}
	return c.print(granted, func(w io.Writer) {
		fmt.Fprintf(w, "key %s for workspace %s, revision %d\n", granted.KeyID, c.Args.Workspace, r.Revision)
		if granted.Key != "" {
			fmt.Fprintln(w, granted.Key)
		}
	})
}

// loadOrCreateKey returns the key in the key file, or creates a new one. A new key
// is written to the file before it is granted, so that it is not lost when the
// response is.
func (c *keyGrantCommand) loadOrCreateKey() (string, error) {
	if c.KeyFile != "" {
		data, err := os.ReadFile(c.KeyFile)
		if err == nil && len(data) > 0 {
			return strings.TrimSpace(string(data)), nil
		}
		if err != nil && !errors.Is(err, os.ErrNotExist) {
			return "", usageError{err}
		}
	}
	key := newSecret()
	if c.KeyFile == "" {
		return key, nil
	}
	return key, writeSecret(c.KeyFile, key)
}

func newSecret() string {
	const secretBytes = 32
	raw := make([]byte, secretBytes)
	_, _ = rand.Read(raw) // crypto/rand never fails
	return base64.RawURLEncoding.EncodeToString(raw)
}

func writeSecret(path, secret string) error {
	const ownerMode = 0o600
	if err := os.WriteFile(path, []byte(secret+"\n"), ownerMode); err != nil {
		return usageError{err}
	}
	return nil
}

// Execute withdraws a key.
func (c *keyWithdrawCommand) Execute([]string) error {
	id := c.id()
	req := admin.KeyWithdrawal{ChangeID: id, Key: c.Args.Key}
	r, err := change[state.Result](c.clientOptions, id, "/v1/withdrawals", req)
	if err != nil {
		return err
	}
	return c.printResult(r)
}

// Execute lists the keys.
func (c *keyListCommand) Execute([]string) error {
	keys, err := get[[]state.Key](c.clientOptions, "/v1/keys")
	if err != nil {
		return err
	}
	return c.print(keys, func(w io.Writer) {
		for _, key := range keys {
			expires := "never expires"
			if key.ExpiresMillis > 0 {
				expires = "expires " + time.UnixMilli(key.ExpiresMillis).UTC().Format(time.RFC3339)
			}
			fmt.Fprintf(w, "%s  %s  %s\n", key.ID, key.Workspace, expires)
		}
	})
}
