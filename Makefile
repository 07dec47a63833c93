# All build output goes to build/. With CHECK=1 the demo sends a load and exits.
BIN := build/bin
TOOLS := build/tools
COMMIT = $(shell git describe --always --dirty)
DEMO_ARGS := $(if $(CHECK),--check)

.PHONY: matrix chaos soak build tools gopls test test-race test-large test-processes lint demo clean experiments comparisons added-latency capacity

build:
	go build -o $(BIN)/ ./cmd/...
	go build -o $(BIN)/standin-platform ./standin/platform
	go build -o $(BIN)/standin-backend ./standin/backend
	go build -o $(BIN)/standin-relay ./standin/relay
	go build -o $(BIN)/standin-demo ./standin/demo
	go build -o $(BIN)/standin-experiment ./standin/experiment

tools:
	cd tools && go build -o ../$(TOOLS)/ mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck

# gopls renames identifiers over all packages and tests. It can't share the module of
# the other tools, as it needs another version of golang.org/x/tools.
GOPLS_VERSION := v0.22.0
gopls:
	GOBIN=$(CURDIR)/$(TOOLS) go install golang.org/x/tools/gopls@$(GOPLS_VERSION)

# Unit tests run with the race detector, but for large deployments in virtual time, with which
# it crashes. The tests in test/ start whole deployments of real processes; their programs are
# built as released, without it.
test: test-race test-large test-processes

# The tests of platform start daemons one after the other, which takes longer than the default timeout of
# 10 minutes beside load.
test-race:
	go test -race -timeout 25m $(TESTFLAGS) $$(go list ./... | grep -v /test/)

test-large:
	go test $(TESTFLAGS) -run 'TestRediscovery|TestCrashingRequestInOverload' ./internal/mesh/entry

test-processes:
	go test -p 2 $(TESTFLAGS) ./test/...

# matrix writes docs/FAULTS.md. With PAIRS=1 it also runs pairs of simultaneous faults.
matrix:
	go test ./test/matrix -count=1 -v -matrix.write=$(CURDIR)/docs/FAULTS.md $(if $(PAIRS),-matrix.pairs)

# chaos sends REQUESTS at-most-once requests under random faults (seed SEED).
REQUESTS := 20000
SEED := 7
chaos:
	go test ./test/process -run AtMostOnce -count=1 -v -timeout 20m -chaos.requests=$(REQUESTS) -chaos.seed=$(SEED)

# soak injects random faults into real daemons. SEED=7 runs one seed, SEED=1-50 a
# range, MINUTES=3 new seeds for three minutes. VMS is the number of VMs in each
# deployment, JOBS the number of concurrent deployments. The logs of failed seeds go
# to build/soak.
VMS := 6
JOBS := 4
soak:
	go test ./platform -run TestSoak -count=1 -v -timeout 60m -soak.vms=$(VMS) -soak.parallel=$(JOBS) -soak.keep=$(CURDIR)/build/soak \
		$(if $(MINUTES),-soak.minutes=$(MINUTES),-soak.seeds=$(or $(SEED),1-50))

lint: tools
	@unformatted=$$($(TOOLS)/gofumpt -l cmd docs fleet internal platform standin examples test); \
	if [ -n "$$unformatted" ]; then echo "not formatted by gofumpt:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	$(TOOLS)/staticcheck ./...

demo: build
	$(BIN)/standin-demo --bin $(BIN) $(DEMO_ARGS)

# Results are written to build/experiments as Markdown, JSON and plots.
# EXPERIMENT_ARGS can select experiments, for example
# "--scenario slow --policy probe --short", or write the tables into a page:
# "--page docs/MEASUREMENTS.md".
experiments: build
	$(BIN)/standin-experiment policies --bin $(BIN) --commit $(COMMIT) $(EXPERIMENT_ARGS)

# Compares measuring budgets (bytes spent on measuring) and the queue orders of
# guards, with three runs of each. Takes under four minutes.
comparisons: build
	$(BIN)/standin-experiment budgets --bin $(BIN) --commit $(COMMIT) $(EXPERIMENT_ARGS)
	$(BIN)/standin-experiment orders --bin $(BIN) --commit $(COMMIT) $(EXPERIMENT_ARGS)

added-latency: build
	$(BIN)/standin-experiment added-latency --bin $(BIN) --commit $(COMMIT) $(EXPERIMENT_ARGS)

capacity: build
	$(BIN)/standin-experiment capacity --bin $(BIN) --commit $(COMMIT) $(EXPERIMENT_ARGS)
	go test -run '^$$' -bench 'StateSize|IdleFleet|ChangeBySize|BadHours' -benchtime 1x ./internal/core
	go test -run '^$$' -bench 'Records' -benchtime 1x ./internal/attempt
	go test -run '^$$' -bench 'Pick|Subset' -benchtime 200ms ./internal/pick
	go test -run '^$$' -bench Hop -benchtime 200ms ./internal/entry

clean:
	rm -rf build
