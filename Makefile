# make try and make test are the two commands of the README.
GOLANGCI_VERSION := v2.15.0
GOBIN := $(shell go env GOPATH)/bin
LINT := $(GOBIN)/golangci-lint
FUZZ_CHECKS ?= 20000
FUZZ_SEED ?= 1

.PHONY: soak crowds processes try test build lint format fuzz fuzz-parsers mutate measure measure-orders measure-edge measure-peers measure-nodes docs generate ci

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

# fuzz-parsers fuzzes each parser of outside input; FUZZ_TIME=d changes how long.
FUZZ_TIME ?= 30s
PARSERS := entry/parsing:FuzzModelBody entry/parsing:FuzzServicePath entry/parsing:FuzzRequestKey \
	api/edge:FuzzContent api/edge:FuzzUnsupported endpoint:FuzzEvents endpoint:FuzzEventText \
	api/record:FuzzGroup settings:FuzzSettings fleet:FuzzDocument gossip:FuzzPacket \
	front:FuzzDigest front:FuzzPeerState front:FuzzStoreRecord gateway:FuzzResponse gateway:FuzzRequest ../platform:FuzzEndpoint ../platform:FuzzConfig ../platform:FuzzStoreResponse

fuzz-parsers:
	for p in $(PARSERS); do \
		go test ./pkg/$${p%%:*} -run '^$$' -fuzz "^$${p##*:}\$$" -fuzztime $(FUZZ_TIME) -parallel 4 || exit 1; \
	done

# mutate breaks each rule on purpose and shows which check catches it.
mutate:
	go test -tags mutate -count=1 -timeout 2h -run TestOrder -v ./pkg/order -ginkgo.focus catches

# measure writes the figures under docs/measured.
measure: measure-orders measure-edge measure-peers

MACHINE := $(shell nproc) cores, $(shell go env GOOS)/$(shell go env GOARCH), $(shell go env GOVERSION)
COMMIT := $(shell git describe --always --dirty 2>/dev/null)

measure-orders:
	mkdir -p docs/measured
	MEASURE_FILE=$(CURDIR)/docs/measured/orders.txt MEASURE_HEAD="machine: $(MACHINE); commit: $(COMMIT)" \
		go test -tags measure -count=1 -timeout 30m -run TestOrder ./pkg/order -ginkgo.focus Measure

measure-edge:
	mkdir -p docs/measured
	MEASURE_FILE=$(CURDIR)/docs/measured/edge.txt MEASURE_HEAD="machine: $(MACHINE); commit: $(COMMIT)" \
		go test -tags measure -count=1 -timeout 30m -run TestTrial ./pkg/trial -ginkgo.focus "Measure the edge"

# docs writes the pages of docs/ that are made from the code.
docs: build
	bin/skylarkloomd docs docs

# soak runs nodes as processes under seeded faults; SOAK_SEEDS=n and
# SOAK_FIRST=n choose the seeds, SOAK_JOBS=n how many go on at the same time.
SOAK_SEEDS ?= 50
SOAK_FIRST ?= 1
SOAK_JOBS ?= 4
soak:
	go test -count=1 -timeout 30m -v ./pkg/soak -seeds $(SOAK_SEEDS) -first $(SOAK_FIRST) -jobs $(SOAK_JOBS)

# processes runs daemons as processes over the stand-ins and breaks them.
processes: build
	SKYLARKLOOMD=$(CURDIR)/bin/skylarkloomd go test -tags processes -count=1 -timeout 10m -v ./pkg/trial/processes

# crowds sends what callers outside the limits send to nodes in processes of their own, one
# crowd at a time.
crowds: build
	SKYLARKLOOMD=$(CURDIR)/bin/skylarkloomd go test -tags crowds -count=1 -p 1 -v -timeout 5m ./pkg/trial/crowd

measure-peers:
	mkdir -p docs/measured
	rm -f docs/measured/peers.txt
	MEASURE_FILE=$(CURDIR)/docs/measured/peers.txt MEASURE_HEAD="machine: $(MACHINE); commit: $(COMMIT)" \
		go test -tags measure -count=1 -timeout 30m -run TestPeer ./pkg/peer -ginkgo.focus Measure

# measure-nodes starts daemons as processes, 60 at most, and ends them by their id.
measure-nodes: build
	mkdir -p docs/measured
	MEASURE_NODES_FILE=$(CURDIR)/docs/measured/nodes.txt MEASURE_HEAD="machine: $(MACHINE); commit: $(COMMIT)" \
		MEASURE_DAEMON=$(CURDIR)/bin/skylarkloomd \
		go test -tags measure -count=1 -timeout 30m -run TestTrial ./pkg/trial -ginkgo.focus "Measure the nodes"

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
