# Everything builds into build/. CHECK=1 makes the demo send a load and exit.
BIN := build/bin
TOOLS := build/tools
DEMO_ARGS := $(if $(CHECK),--check)

.PHONY: build tools test lint demo clean experiments added-latency capacity

build:
	go build -o $(BIN)/ ./cmd/...
	go build -o $(BIN)/standin-platform ./standin/platform
	go build -o $(BIN)/standin-backend ./standin/backend
	go build -o $(BIN)/standin-relay ./standin/relay
	go build -o $(BIN)/standin-demo ./standin/demo
	go build -o $(BIN)/standin-experiment ./standin/experiment

tools:
	cd tools && go build -o ../$(TOOLS)/ mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck

test:
	go test -race $(TESTFLAGS) ./...

lint: tools
	@unformatted=$$($(TOOLS)/gofumpt -l cmd docs fleet internal standin examples test); \
	if [ -n "$$unformatted" ]; then echo "not formatted by gofumpt:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	$(TOOLS)/staticcheck ./...

demo: build
	$(BIN)/standin-demo --bin $(BIN) $(DEMO_ARGS)

# What is measured goes to build/experiments as Markdown, JSON and plots.
# EXPERIMENT_ARGS selects, for example: --scenario slow --policy probe --short
experiments: build
	$(BIN)/standin-experiment policies --bin $(BIN) $(EXPERIMENT_ARGS)

added-latency: build
	$(BIN)/standin-experiment added-latency --bin $(BIN) $(EXPERIMENT_ARGS)

capacity: build
	$(BIN)/standin-experiment capacity --bin $(BIN) $(EXPERIMENT_ARGS)

clean:
	rm -rf build
