GO ?= go

.PHONY: setup build check lint test

setup:
	$(GO) mod download
	$(GO) build -o bin/flamingohaven ./cmd/flamingohaven

build:
	$(GO) build ./...

lint:
	@unformatted=$$($(GO) tool gofumpt -l cmd internal platform); \
	if [ -n "$$unformatted" ]; then echo "gofumpt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Tests that KNOWN-RED.txt names in a line "skip: NAME" fail for a known fault.
KNOWN_RED := $(shell sed -n 's/^ *skip: *//p' KNOWN-RED.txt | paste -sd'|')

SKIP := $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')

# The race detector itself crashes in these packages on arm64 (KNOWN-RED.txt, entry 26).
ifeq ($(shell $(GO) env GOARCH),arm64)
WITHOUT_RACE := ./internal/coordination/consensus ./internal/coordination/control
endif

test: lint build
	$(GO) test -race -timeout 20m $(SKIP) $(filter-out $(addprefix $(shell $(GO) list -m)/,$(WITHOUT_RACE:./%=%)),$(shell $(GO) list ./...))
	$(if $(WITHOUT_RACE),$(GO) test -timeout 20m $(SKIP) $(WITHOUT_RACE))
