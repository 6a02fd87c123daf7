# Targets for users and developers. Longer recipes are in script/.

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

# Runs the soak test once, e.g. make soak SEED=7 STEPS=40. SEED is required; STEPS defaults
# to 12. AGENTS adds agents, with a balancer for every four.
soak:
	go test -count=1 -timeout 30m -run 'TestSoak$$' ./platform -args -soak.seed $(SEED) -soak.steps $(or $(STEPS),12) -soak.agents $(or $(AGENTS),0)
