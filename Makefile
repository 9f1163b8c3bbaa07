GO ?= go
BIN := bin/chicorymast

.PHONY: build run test lint fmt install clean

build:
	$(GO) build -o $(BIN) .

run: build
	BIN=$(BIN) contrib/run.sh

test:
	$(GO) test ./...

fmt:
	$(GO) tool -modfile=tools/go.mod gofumpt -w $$(git ls-files '*.go')

install:
	$(GO) install .

clean:
	rm -rf bin out
