# FIRST, SEEDS and STEPS bound the long randomised runs: first seed, number of seeds, steps.
FIRST ?= 1
SEEDS ?= 200
STEPS ?= 2000
ARGS ?=

.PHONY: all build run test soak bench fmt

all: build

build:
	go build -o bin/ ./cmd/...

run: build
	./bin/endivedev $(ARGS)

test:
	./scripts/check.sh

soak:
	ENDIVE_SOAK_FIRST=$(FIRST) ENDIVE_SOAK_SEEDS=$(SEEDS) ENDIVE_SOAK_STEPS=$(STEPS) \
		go test -count=1 -timeout 0 -v -run 'Soak' ./...

bench:
	go test -run '^$$' -bench . -benchmem ./...

fmt:
	gofmt -w .
