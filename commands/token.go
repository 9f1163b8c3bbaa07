package cmds

import (
	"fmt"

	"chicorymast/core/ident"
)

type tokenCommand struct {
	File string `long:"file" required:"true" description:"file for the token"`
}

func init() {
	register("token", "make an operator's token",
		"Makes an operator's token, writes it to a file and prints the digest for the section [operator NAME] of the daemons' settings.", &tokenCommand{})
}

// Execute makes the token.
func (c *tokenCommand) Execute([]string) error {
	token := newSecret()
	if err := writeSecret(c.File, token); err != nil {
		return err
	}
	fmt.Printf("token_sha256 = %s\n", ident.DigestKey(token))
	return nil
}
