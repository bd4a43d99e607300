# briarproxy build, test, demo and bench. `make tools` installs the linter.
STATICCHECK_VERSION := v0.8.1
MODULES := core daemon platform standin
GOBIN := $(shell go env GOPATH)/bin
STATICCHECK := $(GOBIN)/staticcheck
BIN := bin
export CGO_ENABLED := 1

.PHONY: all build tools fmt lint test demo soak rolling bench regression clean

all: build

build:
	go build -o $(BIN)/ ./daemon/cmd/... ./standin/cmd/...

tools: $(STATICCHECK)

$(STATICCHECK):
	go install honnef.co/go/tools/cmd/staticcheck@$(STATICCHECK_VERSION)

fmt:
	gofmt -w $(MODULES)

lint: tools
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi
	@if grep -rnE '\.\./given' --include='*' --exclude-dir=.git --exclude-dir=bin --exclude-dir=target --exclude-dir=journal --exclude=Makefile . ; then echo "the repository must not refer to that folder"; exit 1; fi
	go vet $(addprefix ./,$(addsuffix /...,$(MODULES)))
	@for m in $(MODULES); do (cd $$m && $(STATICCHECK) ./...) || exit 1; done

test: lint build
	bash scripts/test.sh

# soak plays random faults against the real programs for three minutes; SEED chooses them.
soak:
	BRIARPROXY_SOAK=3m BRIARPROXY_SOAK_SEED=$(or $(SEED),7) go test ./standin/integration -run TestPlatformSoak -count=1 -timeout 10m -v

# rolling stops the real programs in turn for a minute under load; SEED chooses what happens.
rolling:
	BRIARPROXY_SOAK=1m BRIARPROXY_SOAK_SEED=$(or $(SEED),7) go test ./standin/integration -run TestPlatformRollingStops -count=1 -timeout 10m -v

demo: build
	bash scripts/demo.sh

bench: build
	bash scripts/bench.sh

KIT := ../given/kit/more/system
FLEETBENCH := $(KIT)/more/bench-d17393/bin/fleetbench
REGRESSION_SITES := further/kandy-strings further-grown/kandy-strings-grown large/dosui-sched-large

# regression scores the sites of the milestone, and the small twins of the large one.
regression:
	@if [ ! -x $(FLEETBENCH) ]; then echo "regression: the users' bench is not here; nothing was run"; exit 0; fi; \
	for s in $(REGRESSION_SITES); do $(FLEETBENCH) score $(KIT)/$$s.toml --jobs 3 --why "regression" || exit 1; done; \
	$(FLEETBENCH) score $(KIT)/large/dosui-sched-large.toml --small --jobs 3 --why "regression, small twins"

clean:
	rm -rf $(BIN)
