# Targets for users and developers; script/ holds what they run.

.PHONY: build demo test lint bench

build:
	go build -o bin/ ./cmd/...

demo: build
	bin/radishmast-lab demo

test: build
	script/test

lint:
	script/lint

bench:
	go test -run '^$$' -bench . -benchtime 200000x ./internal/link/fabric
