# Each target but generate installs the tools that it needs; Go, gcc and apt must be
# present. Run "make tools apt" before generate.
SHELL := /bin/bash
GOBIN := $(CURDIR)/bin
export PATH := $(GOBIN):/usr/local/go/bin:$(PATH)
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
REVIVE := github.com/mgechev/revive@v1.17.0
TWIRP := github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible

.PHONY: build demo test docs slopes trials generate tools apt clean

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

demo: build
	@command -v curl >/dev/null || (apt-get update -qq && apt-get install -y -qq curl)
	@scripts/demo.sh

tools:
	@mkdir -p bin
	@test -x bin/gofumpt || GOBIN=$(GOBIN) go install $(GOFUMPT)
	@test -x bin/revive || GOBIN=$(GOBIN) go install $(REVIVE)
	@test -x bin/protoc-gen-go || GOBIN=$(GOBIN) go install google.golang.org/protobuf/cmd/protoc-gen-go
	@test -x bin/protoc-gen-twirp || GOBIN=$(GOBIN) go install $(TWIRP)

# Debian packages that only the tests need.
apt:
	@command -v spin >/dev/null && command -v protoc >/dev/null || (apt-get update -qq && apt-get install -y -qq spin protobuf-compiler)

test: build tools apt
	@scripts/test.sh

# Measures the figures in docs/CAPACITY.md.
slopes: build
	@command -v curl >/dev/null || (apt-get update -qq && apt-get install -y -qq curl)
	@scripts/slopes.sh
	go test -run xxx -bench "Path|BenchmarkStream" -benchtime 2s ./internal/cwapp
	go test -run xxx -bench InFlight -benchtime 1x ./internal/cwapp
	go test -run xxx -bench Paced -benchtime 1000x ./internal/cwapp
	go test -run xxx -bench . ./internal/cwpolicy ./pkg/cwconfig

trials: build
	bin/cwtrial

docs: build
	bin/clementinewell settings > docs/CONFIG.md

generate:
	go generate ./internal/cwproto

clean:
	rm -rf bin
