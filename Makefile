# Developer commands. Each is run by CI or named in the documentation.

MODULES  = . ./cmd/hsctl ./cmd/hsdirect ./cmd/hsentry ./cmd/hslab
PACKAGES = ./... ./cmd/hsctl/... ./cmd/hsdirect/... ./cmd/hsentry/... ./cmd/hslab/...
LINT     = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GEN_GO   = google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
GEN_RPC  = connectrpc.com/connect/cmd/protoc-gen-connect-go@v1.21.1
MODULE   = heatherstack.org/heatherstack
# Pattern of the tests that KNOWN-RED.txt names.
RED     := $(shell sed -n 's/^\(Test[^: ]*\):.*/\1/p' KNOWN-RED.txt | sed 's,/,$$/^,g; s,.*,^&$$,' | paste -sd'|' -)
SKIP    ?= $(RED)

.PHONY: help test red build vet format lint fmt golden generate demo place bench faults fuzz matrix soak

help: ## list the commands
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/\t/'

test: ## run all tests with the race detector, without those in KNOWN-RED.txt
	go test -race -timeout 40m -skip '$(SKIP)' $(PACKAGES)

red: ## run the tests in KNOWN-RED.txt and print their results, which do not count
	@echo "known red, passed over by name:"; cat KNOWN-RED.txt
	@test -z '$(RED)' || go test -count=1 -run '$(RED)' ./... 2>&1 | grep -v 'no test' || true

build: ## build the programs into bin/
	mkdir -p bin
	go build -o bin/ ./cmd/hsctl ./cmd/hsdirect ./cmd/hsentry ./cmd/hslab

vet: ## run go vet
	go vet $(PACKAGES)

format: ## fail if a file is not formatted
	$(LINT) fmt --diff ./...

fmt: ## format all files
	$(LINT) fmt ./...

lint: ## run the linters
	for m in $(MODULES); do (cd $$m && $(LINT) run ./...) || exit 1; done

golden: ## regenerate the golden files
	go test ./internal/... -update

generate: ## regenerate the code from the .proto files; needs protoc
	mkdir -p bin
	GOBIN=$(CURDIR)/bin go install $(GEN_GO)
	GOBIN=$(CURDIR)/bin go install $(GEN_RPC)
	PATH=$(CURDIR)/bin:$$PATH protoc -I schema --go_out=. --go_opt=module=$(MODULE) \
		--connect-go_out=. --connect-go_opt=module=$(MODULE) schema/*.proto

demo: ## move two users' services between buildings
	go run ./cmd/hslab demo

place: ## compare placement policies for new flows in the load model
	go run ./cmd/hslab place

bench: ## run the benchmarks of the packet codec, the documents of the deployment and forwarding decisions
	go test -run '^$$' -bench . -benchmem ./platform ./internal/hspacket ./internal/hsowner ./internal/hsrank ./internal/hsflow

fuzz: ## fuzz the codecs, peers' messages and the store's items for a minute each
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 60s ./internal/hspacket
	go test -run '^$$' -fuzz FuzzDecode -fuzztime 60s ./platform
	go test -run '^$$' -fuzz FuzzItem -fuzztime 60s ./platform
	go test -run '^$$' -fuzz FuzzReceive -fuzztime 60s ./internal/hsdirect

faults: ## kill, pause and restart real hsentry processes under load
	go test -count=1 -v -run TestProcesses ./internal/hslab -processes

matrix: ## run the fault matrix and all pairs of faults, with ten seeds each
	go test -count=1 -timeout 30m ./internal/hsmatrix -run 'TestMatrix|TestPairs' -seeds 10

soak: build ## run hsdirect processes under random faults, once for each of ten seeds
	bin/hslab soak --seeds 10
