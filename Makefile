# make test runs all CI checks; make demo runs the demo of the whole system.
SEED ?= 20261204
GO_FILES = $(shell git ls-files -co --exclude-standard '*.go' | grep -v '\.pb\.go$$')
# Packages with property tests run with the fixed seed; other test binaries reject
# the flag -rapid.seed.
PROPERTY_PACKAGES = $(shell go list -f '{{.ImportPath}} {{.TestImports}} {{.XTestImports}}' ./... | grep 'pgregory.net/rapid' | cut -d' ' -f1)
# The tests of crowds of clients bound the memory of processes, so they run apart from
# all others.
CROWD_PACKAGES = $(shell go list ./platform/crowd)
OTHER_PACKAGES = $(filter-out $(PROPERTY_PACKAGES) $(CROWD_PACKAGES),$(shell go list ./...))
# Tests listed in KNOWN-RED.txt ("test: Name" lines) are skipped, and the file is
# printed.
KNOWN_RED = $(shell sed -n 's/^test: *\([A-Za-z0-9_]*\).*/\1/p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
SKIP = $(if $(KNOWN_RED),-skip '^($(KNOWN_RED))$$')
# The timeout ends a test binary that hangs. decision/cell takes some ten minutes with the
# race detector, and more beside other work.
TEST_FLAGS = -race -count=1 -timeout 30m $(SKIP)

.PHONY: test format vet lint build unit soak demo stay proto bench

test: format vet lint build unit

format:
	@unformatted=$$(go tool gofumpt -l $(GO_FILES)); \
	if [ -n "$$unformatted" ]; then echo "not formatted by gofumpt:"; echo "$$unformatted"; exit 1; fi

vet:
	go vet ./...

lint:
	go tool staticcheck ./...

build:
	go build ./...

unit:
	@if [ -n "$(KNOWN_RED)" ]; then echo "passed over (KNOWN-RED.txt):"; cat KNOWN-RED.txt; fi
	go test $(TEST_FLAGS) $(OTHER_PACKAGES)
	@if [ -n "$(PROPERTY_PACKAGES)" ]; then echo go test $(TEST_FLAGS) -rapid.seed=$(SEED) $(PROPERTY_PACKAGES); \
	go test $(TEST_FLAGS) $(PROPERTY_PACKAGES) -rapid.seed=$(SEED) -rapid.nofailfile; fi
	go test $(TEST_FLAGS) $(CROWD_PACKAGES)

# Injects random faults into real processes: RUNS consecutive seeds starting at
# SEED, SECONDS seconds each.
soak: RUNS ?= 1
soak: SECONDS ?= 12
soak:
	SOAK_SEED=$(SEED) SOAK_RUNS=$(RUNS) SOAK_SECONDS=$(SECONDS) go test -count=1 -v -timeout 60m ./soak

demo:
	@mkdir -p bin
	go build -o bin/ ./cmd/...
	./bin/lacewingfork-demo

# Starts the system and keeps it running, to try out the lacewingfork command.
stay:
	@mkdir -p bin
	go build -o bin/ ./cmd/...
	./bin/lacewingfork-demo --stay

bench:
	go test -run '^$$' -bench . -benchmem ./decision/... ./supervise/...

# Regenerates the committed protobuf code; needs protoc (Debian package
# protobuf-compiler).
proto:
	@mkdir -p bin
	go build -o bin/ google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
	PATH=$(CURDIR)/bin:$$PATH protoc --go_out=. --go_opt=module=lacewingfork.example/lacewingfork \
		--go-drpc_out=. --go-drpc_opt=module=lacewingfork.example/lacewingfork peerpb/peer.proto cellpb/cell.proto
