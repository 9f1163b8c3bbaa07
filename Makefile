GO ?= go
BIN := bin/chicorymast
TOOL := $(GO) tool -modfile=tools/go.mod
GOFILES = $$(git ls-files '*.go')

.PHONY: build run test lint fmt model measure slopes install clean

build:
	$(GO) build -o $(BIN) .

# A whole small fleet on loopback, ending in a report.
run: build
	BIN=$(BIN) contrib/run.sh

test:
	$(GO) test ./...

lint:
	@test -z "$$($(TOOL) gofumpt -l $(GOFILES))" || { echo "not formatted:"; $(TOOL) gofumpt -l $(GOFILES); exit 1; }
	$(GO) vet ./...
	$(TOOL) revive -config contrib/revive.toml -set_exit_status ./...
	$(TOOL) staticcheck ./...
	$(TOOL) errcheck -exclude contrib/errcheck.txt ./...

fmt:
	$(TOOL) gofumpt -w $(GOFILES)

# Exhaustive checks of the protocols' specifications, and of their mutants.
model:
	model/run.sh

# Scenarios against the plain pass-through mode; results in out/measure.
measure: build
	BIN=$(BIN) contrib/measure.sh

# The slopes that docs/CAPACITY.md is worked out from.
slopes: build
	BIN=$(BIN) contrib/slopes.sh

install:
	$(GO) install .

clean:
	rm -rf bin out
