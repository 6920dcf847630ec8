# The way in: `make demo`, `make test`, `make ci`.
LINT := go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
SEEDS ?= 20

.PHONY: demo test build lint format generate soak random bench ci

demo:
	go run ./cmd/apricotproxy demo

build:
	go build ./...

test:
	go test ./...

format:
	$(LINT) fmt

lint:
	$(LINT) run ./...

generate:
	cd io/wire && protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. peer.proto

ci:
	bash .ci/run
