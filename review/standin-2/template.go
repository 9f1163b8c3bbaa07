package main

import (
	"fmt"
	"regexp"
	"sort"
	"strings"
)

var (
	section     = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// fill fills in a settings template as the page on the deploy file says, as far as the
// templates of this project need it: values, and sections over a value or a table.
func fill(text string, fields map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		switch v := lookUp(fields, m[1]).(type) {
		case nil:
			return ""
		case map[string]any:
			keys := make([]string, 0, len(v))
			for k := range v {
				keys = append(keys, k)
			}
			sort.Strings(keys)
			out := ""
			for i, k := range keys {
				comma := ","
				if i == len(keys)-1 {
					comma = ""
				}
				out += strings.NewReplacer("{{@}}", k, "{{,}}", comma, "{{.}}", render(v[k])).Replace(m[2])
			}
			return out
		default:
			return strings.ReplaceAll(m[2], "{{.}}", render(v))
		}
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		return render(lookUp(fields, placeholder.FindStringSubmatch(s)[1]))
	})
}

// lookUp returns the value of a path such as listen.outbound or internal_ports.0, nil if
// there is none.
func lookUp(fields map[string]any, path string) any {
	var v any = fields
	for _, key := range strings.Split(path, ".") {
		switch c := v.(type) {
		case map[string]any:
			v = c[key]
		case []string:
			i := 0
			if _, err := fmt.Sscanf(key, "%d", &i); err != nil || i >= len(c) {
				return nil
			}
			v = c[i]
		default:
			return nil
		}
	}
	return v
}

func render(v any) string {
	switch v := v.(type) {
	case nil:
		return ""
	case []string:
		return strings.Join(v, ",")
	default:
		return fmt.Sprint(v)
	}
}
