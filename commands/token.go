package cmds

import (
	"fmt"

	"chicorymast/core/ident"
)

type tokenCommand struct {
	File string `long:"file" required:"true" description:"file for the token"`
}

func init() {
	register("token", "create an operator token",
		"Creates an operator token, writes it to a file and prints its digest for the section [operator NAME] of the daemons' settings.", &tokenCommand{})
}

// Execute creates the token.
func (c *tokenCommand) Execute([]string) error {
	token := newSecret()
	if err := writeSecret(c.File, token); err != nil {
		return err
	}
	fmt.Printf("token_sha256 = %s\n", ident.DigestKey(token))
	return nil
}
