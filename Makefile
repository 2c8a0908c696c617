GO ?= go
BIN := bin
VERSION := $(shell git describe --always --dirty 2>/dev/null || echo dev)
LDFLAGS := -X github.com/baobablanding/baobablanding/daemon.Version=$(VERSION) -X github.com/baobablanding/baobablanding/ctl.Version=$(VERSION)

.PHONY: build test demo up load lint ci clean

build: ## build every program into bin/
	$(GO) build -ldflags "$(LDFLAGS)" -o $(BIN)/ ./cmd/...

test: build ## run all tests
	$(GO) test $(TESTFLAGS) ./...

demo: build ## run the demo: separate processes on loopback, under a minute
	$(BIN)/baobab-dev demo

up: build ## keep a development fleet running until Ctrl-C
	$(BIN)/baobab-dev up

load: build ## the standard measurement: both deployments, under three minutes
	$(BIN)/baobab-load --profile garrafon --profile guild --variant burst --variant steady --variant batch \
		--variant batch-alone --variant over-rate --variant data-centre-out --variant gateway-killed $(LOADFLAGS)

lint: ## formatter, vet and staticcheck
	@test -z "$$(gofmt -l $$(git ls-files '*.go'))" || { gofmt -l $$(git ls-files '*.go'); exit 1; }
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

ci: ## what CI runs
	bash .ci/run

clean:
	rm -rf $(BIN)
