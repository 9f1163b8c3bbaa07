package event

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// docs/EVENTS.md must list exactly the events of the catalogue.
func TestCatalogueIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	var documented []string
	for _, m := range regexp.MustCompile(`(?m)^\| (\d+) \| (\w+) \| ([^|]+) \|`).FindAllStringSubmatch(string(data), -1) {
		documented = append(documented, fmt.Sprintf("%s %s %s", m[1], m[2], m[3]))
	}
	var defined []string
	for _, d := range Catalogue() {
		defined = append(defined, fmt.Sprintf("%d %s %s", d.ID, d.Level, d.Message))
	}
	assert.DeepEqual(t, documented, defined)
}
