// Package schema decodes INI sections into structs. It rejects unknown keys,
// malformed values and repeated keys.
//
// # Usage
//
//	type Limits struct {
//		Retries int           `ini:"retries"`
//		Timeout time.Duration `ini:"timeout"`
//	}
//	limits := Limits{Retries: 3}            // a field without a key keeps its default
//	file, err := schema.Parse("intent.ini", data)
//	err = schema.Decode("intent.ini", file.Section("limits"), &limits)
//
// Errors are *schema.Error values with file, section and key. Supported field
// types are string types, int, int64, float64, bool, time.Duration, and slices of
// string types or of encoding.TextUnmarshaler.
package schema

import (
	"encoding"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Error is an error in one key of a section of an INI file.
type Error struct {
	File    string
	Section string
	Key     string
	Problem string
}

// Error formats the error as `file: [section] key: problem`.
func (e *Error) Error() string {
	out := e.File + ":"
	if e.Section != "" {
		out += " [" + e.Section + "]"
	}
	if e.Key != "" {
		out += " " + e.Key
	}
	return out + ": " + e.Problem
}

// Parse parses INI text. The name is used in errors only. All keys must be in a
// section.
func Parse(name string, data []byte) (*ini.File, error) {
	opts := ini.LoadOptions{AllowShadows: true, SpaceBeforeInlineComment: true, AllowDuplicateShadowValues: true}
	file, err := ini.LoadSources(opts, data)
	if err != nil {
		return nil, &Error{File: name, Problem: err.Error()}
	}
	for _, key := range file.Section(ini.DefaultSection).Keys() {
		return nil, &Error{File: name, Key: key.Name(), Problem: "stands before the first section"}
	}
	return file, nil
}

// Decode sets the fields of the struct that dst points to from one section. The
// `ini` tag of a field names its key.
func Decode(file string, sec *ini.Section, dst any) error {
	fields := fieldsByKey(reflect.ValueOf(dst).Elem())
	for _, key := range sec.Keys() {
		fail := func(problem string) error {
			return &Error{File: file, Section: sec.Name(), Key: key.Name(), Problem: problem}
		}
		field, known := fields[key.Name()]
		if !known {
			return fail("unknown key")
		}
		if len(key.ValueWithShadows()) > 1 {
			return fail("given more than once")
		}
		if problem := assign(field, key.Value()); problem != "" {
			return fail(problem)
		}
	}
	return nil
}

func fieldsByKey(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		if name := v.Type().Field(i).Tag.Get("ini"); name != "" {
			fields[name] = v.Field(i)
		}
	}
	return fields
}

func assign(field reflect.Value, text string) (problem string) {
	if field.Type() == reflect.TypeFor[time.Duration]() {
		return assignDuration(field, text)
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(text)
	case reflect.Int, reflect.Int64:
		return assignInt(field, text)
	case reflect.Float64:
		return assignFloat(field, text)
	case reflect.Bool:
		return assignBool(field, text)
	case reflect.Slice:
		return assignList(field, text)
	default:
		return "has no readable form"
	}
	return ""
}

func assignDuration(field reflect.Value, text string) string {
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return fmt.Sprintf("%q is not a duration such as 250ms or 2s", text)
	}
	field.SetInt(int64(d))
	return ""
}

func assignInt(field reflect.Value, text string) string {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return fmt.Sprintf("%q is not a whole number", text)
	}
	field.SetInt(n)
	return ""
}

func assignFloat(field reflect.Value, text string) string {
	f, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(f) {
		return fmt.Sprintf("%q is not a number", text)
	}
	field.SetFloat(f)
	return ""
}

func assignBool(field reflect.Value, text string) string {
	switch strings.ToLower(text) {
	case "true", "yes", "on":
		field.SetBool(true)
	case "false", "no", "off":
		field.SetBool(false)
	default:
		return fmt.Sprintf("%q is neither true nor false", text)
	}
	return ""
}

func assignList(field reflect.Value, text string) (problem string) {
	list := reflect.MakeSlice(field.Type(), 0, 0)
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		elem := reflect.New(field.Type().Elem())
		if u, ok := elem.Interface().(encoding.TextUnmarshaler); ok {
			if err := u.UnmarshalText([]byte(part)); err != nil {
				return err.Error()
			}
		} else {
			elem.Elem().SetString(part)
		}
		list = reflect.Append(list, elem.Elem())
	}
	field.Set(list)
	return ""
}
