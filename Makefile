GO ?= go
BIN := bin/chicorymast
TOOL := $(GO) tool -modfile=tools/go.mod
GOFILES = $$(git ls-files '*.go')

.PHONY: build run test lint fmt model measure slopes install clean

build:
	$(GO) build -o $(BIN) .

# Runs a small fleet on loopback addresses and prints a report.
run: build
	BIN=$(BIN) contrib/run.sh

# Passes if only tests fail that KNOWN-RED.txt names; it prints them.
test:
	.ci/test $(GO)

lint:
	@test -z "$$($(TOOL) gofumpt -l $(GOFILES))" || { echo "not formatted:"; $(TOOL) gofumpt -l $(GOFILES); exit 1; }
	$(GO) vet ./...
	$(TOOL) revive -config contrib/revive.toml -set_exit_status ./...
	$(TOOL) staticcheck ./...
	$(TOOL) errcheck -exclude contrib/errcheck.txt ./...

fmt:
	$(TOOL) gofumpt -w $(GOFILES)

# Checks the models of the protocols exhaustively, and that their mutants fail.
model:
	model/run.sh

# Compares the modes pass_through and managed by scenario; results in out/measure.
measure: build
	BIN=$(BIN) contrib/measure.sh

# Measures the inputs of docs/CAPACITY.md.
slopes: build
	BIN=$(BIN) contrib/slopes.sh

install:
	$(GO) install .

clean:
	rm -rf bin out
