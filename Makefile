# Everything builds into build/. CHECK=1 makes the demo send a load and exit.
BIN := build/bin
TOOLS := build/tools
DEMO_ARGS := $(if $(CHECK),--check)

.PHONY: build tools test lint demo clean

build:
	go build -o $(BIN)/ ./cmd/...
	go build -o $(BIN)/standin-platform ./standin/platform
	go build -o $(BIN)/standin-backend ./standin/backend
	go build -o $(BIN)/standin-relay ./standin/relay
	go build -o $(BIN)/standin-demo ./standin/demo

tools:
	cd tools && go build -o ../$(TOOLS)/ mvdan.cc/gofumpt honnef.co/go/tools/cmd/staticcheck

test:
	go test -race $(TESTFLAGS) ./...

lint: tools
	@unformatted=$$($(TOOLS)/gofumpt -l cmd fleet internal standin examples test); \
	if [ -n "$$unformatted" ]; then echo "not formatted by gofumpt:"; echo "$$unformatted"; exit 1; fi
	go vet ./...
	$(TOOLS)/staticcheck ./...

demo: build
	$(BIN)/standin-demo --bin $(BIN) $(DEMO_ARGS)

clean:
	rm -rf build
