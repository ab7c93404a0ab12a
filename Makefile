# make try and make test are the two commands of the README.
GOLANGCI_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint
FUZZ_CHECKS ?= 20000
FUZZ_SEED ?= 1

.PHONY: try test build lint format fuzz measure docs generate ci

try: build
	bin/skylarkloomd try

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -timeout 10m ./...

$(LINT):
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

lint: $(LINT)
	$(LINT) fmt --diff
	$(LINT) run ./...
	! git grep -nE '^[[:space:]]*go (func|[a-zA-Z_.]+\()' -- '*.go'

format: $(LINT)
	$(LINT) fmt

# fuzz runs the stateful fuzz of orders, configuration and charges for long;
# FUZZ_CHECKS=n and FUZZ_SEED=n change the cases.
fuzz:
	FUZZ_CHECKS=$(FUZZ_CHECKS) FUZZ_SEED=$(FUZZ_SEED) go test -race -count=1 -timeout 2h -run TestOrder -v ./pkg/order

ci: lint build test

# generate makes the committed code of the peer protocol; it needs protoc.
generate:
	protoc --plugin=$(GOBIN)/protoc-gen-go --plugin=$(GOBIN)/protoc-gen-connect-go \
		--go_out=. --go_opt=paths=source_relative --connect-go_out=. --connect-go_opt=paths=source_relative \
		pkg/api/peer/v1/peer.proto

measure: measure-policy

# measure-policy compares the policies by pkg/replay in virtual time.
measure-policy:
	mkdir -p docs/measured
	go test -count=1 -timeout 30m -run TestMeasure ./pkg/replay -args -measure $(CURDIR)/docs/measured/policy.txt
