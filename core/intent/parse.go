package intent

import (
	"strings"

	"chicorymast/core/ident"
	"chicorymast/core/schema"

	"gopkg.in/ini.v1"
)

// Parse parses and checks an intent file. The name is used in errors only, which
// are *schema.Error values.
func Parse(name string, data []byte) (Intent, error) {
	in, err := parseUnchecked(name, data)
	if err != nil {
		return Intent{}, err
	}
	if err := Check(name, in); err != nil {
		return Intent{}, err
	}
	return in, nil
}

// parseUnchecked parses an intent whose references and values may be invalid.
func parseUnchecked(name string, data []byte) (Intent, error) {
	file, err := schema.Parse(name, data)
	if err != nil {
		return Intent{}, err
	}
	in := Empty()
	for _, sec := range file.Sections() {
		if sec.Name() == ini.DefaultSection {
			continue
		}
		if err := parseSection(name, sec, &in); err != nil {
			return Intent{}, err
		}
	}
	return in, nil
}

func parseSection(file string, sec *ini.Section, in *Intent) error {
	kind, label, _ := strings.Cut(sec.Name(), " ")
	label = strings.TrimSpace(label)
	if kind == "limits" && label == "" {
		return schema.Decode(file, sec, &in.Limits)
	}
	if !validName(label) {
		return &schema.Error{File: file, Section: sec.Name(), Problem: "want [KIND NAME], NAME in snake_case"}
	}
	switch kind {
	case "data_centre":
		return decodeInto(file, sec, in.DataCentres, ident.DataCentre(label), DataCentreSpec{Weight: 1})
	case "workspace":
		return decodeInto(file, sec, in.Workspaces, ident.Workspace(label), WorkspaceSpec{})
	case "service":
		return decodeInto(file, sec, in.Services, ident.Service(label), ServiceSpec{})
	case "route":
		return decodeInto(file, sec, in.Routes, ident.Route(label), RouteSpec{Class: ident.ClassNormal})
	case "group":
		return decodeInto(file, sec, in.Groups, ident.Group(label), GroupSpec{})
	case "grant":
		return decodeInto(file, sec, in.Grants, ident.Grant(label), GrantSpec{})
	}
	return &schema.Error{File: file, Section: sec.Name(), Problem: "unknown section"}
}

func decodeInto[K ~string, V any](file string, sec *ini.Section, into map[K]V, key K, value V) error {
	if err := schema.Decode(file, sec, &value); err != nil {
		return err
	}
	into[key] = value
	return nil
}

func validName(s string) bool {
	for _, r := range s {
		lower := r >= 'a' && r <= 'z'
		digit := r >= '0' && r <= '9'
		if !lower && !digit && r != '_' && r != '-' {
			return false
		}
	}
	return s != ""
}
