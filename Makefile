# Targets for users and developers; script/ holds what they run.

.PHONY: build demo test lint bench soak

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

# One soak run by hand: make soak SEED=7 STEPS=40
soak:
	go test -count=1 -timeout 30m -run 'TestSoak$$' ./platform -args -soak.seed $(SEED) -soak.steps $(or $(STEPS),12)
