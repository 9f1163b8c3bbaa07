package config

import (
	"encoding/hex"
	"maps"
	"slices"

	"chicorymast/core/schema"

	"gopkg.in/ini.v1"
)

// OperatorRole is the set of operations that an operator's token permits.
type OperatorRole string

// The roles of operators, in ascending order; each includes the previous ones.
const (
	OperatorView       OperatorRole = "view"
	OperatorPlan       OperatorRole = "plan"
	OperatorConfirm    OperatorRole = "confirm"
	OperatorAdminister OperatorRole = "administer"
)

var operatorRoles = []OperatorRole{OperatorView, OperatorPlan, OperatorConfirm, OperatorAdminister}

// Allows reports whether the role includes the role that an operation needs.
func (r OperatorRole) Allows(need OperatorRole) bool {
	return slices.Index(operatorRoles, r) >= slices.Index(operatorRoles, need)
}

// Operator is one section [operator NAME].
type Operator struct {
	// TokenSHA256 is the lower-case hex digest of the operator's token.
	TokenSHA256 string       `ini:"token_sha256"`
	Role        OperatorRole `ini:"role"`
}

func (c *Config) decodeOperator(file, name string, sec *ini.Section) error {
	op := Operator{Role: OperatorView}
	if err := schema.Decode(file, sec, &op); err != nil {
		return err
	}
	c.Operators[name] = op
	return nil
}

func (c *Config) checkOperators() error {
	for _, name := range slices.Sorted(maps.Keys(c.Operators)) {
		op := c.Operators[name]
		fail := func(key, problem string) error {
			return &schema.Error{File: c.File, Section: "operator " + name, Key: key, Problem: problem}
		}
		if sum, err := hex.DecodeString(op.TokenSHA256); err != nil || len(sum) != 32 {
			return fail("token_sha256", "is not a SHA-256 digest of 64 hex digits")
		}
		if !slices.Contains(operatorRoles, op.Role) {
			return fail("role", "must be view, plan, confirm or administer")
		}
	}
	return nil
}
