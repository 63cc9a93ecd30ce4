.PHONY: setup build run test soak report bench generate

setup:
	bash scripts/setup.sh

build: setup
	go build -o bin/ ./cmd/...

run: build
	KEEP=$(KEEP) bash scripts/run.sh

test: setup
	bash scripts/test.sh

soak: build
	bin/fescuesoak --first 0 --seeds 12 --beside 3

report: build
	bin/fescuestandin report --folder docs/report > docs/report/placement.md

bench:
	go test -run NONE -bench . -benchmem ./pkg/... ./internal/fpgossip

generate:
	protoc --go_out=. --go_opt=module=github.com/fescuepoint/fescuepoint \
		--connect-go_out=. --connect-go_opt=module=github.com/fescuepoint/fescuepoint internal/fppeer/fppeerv1/peer.proto
