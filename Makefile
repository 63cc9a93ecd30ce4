.PHONY: build run test generate

build:
	go build -o bin/ ./cmd/...

run: build
	KEEP=$(KEEP) bash scripts/run.sh

test:
	bash scripts/test.sh
