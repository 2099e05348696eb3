MODULES := adaptor core platform rosemaryctl rosemaryspool standin wire
PACKAGES := $(MODULES:%=./%/...)
TOOLS := $(CURDIR)/bin/tools

.PHONY: format-generated list-packages tools build test race vet format check-format lint generate check-generated check demo soak clean

tools:
	cd tools && GOWORK=off go build -o $(TOOLS)/ tool

build:
	go build -o bin/ ./rosemaryspool ./rosemaryctl ./standin

test:
	go test $(TESTFLAGS) $(PACKAGES)

list-packages:
	@go list $(PACKAGES)

race:
	$(MAKE) test TESTFLAGS=-race

vet:
	go vet $(PACKAGES)

format: tools
	$(TOOLS)/gofumpt -w $(MODULES)

check-format: tools
	@unformatted=$$($(TOOLS)/gofumpt -l $(MODULES)); \
	if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi

lint: tools
	$(TOOLS)/staticcheck $(PACKAGES)
	$(TOOLS)/revive -config revive.toml -set_exit_status -exclude wire/messenger/... -exclude platform/messenger/... $(PACKAGES)

SCHEMA := $(TOOLS)/go-jsonschema -p messenger -t --tags json --capitalization ID,KV,IP,API
# The generated validation decodes each level of a document several times; a configuration has thousands of objects.
CONFIGURATION := schema/configuration.json
MESSAGES := $(filter-out $(CONFIGURATION),$(sort $(patsubst platform/%,%,$(wildcard platform/schema/*.json))))

generate:
	cd tools/generator && GOWORK=off go build -o $(TOOLS)/ tool
	cd wire && $(TOOLS)/buf generate
	cd platform && $(SCHEMA) -o messenger/message.go $(MESSAGES)
	cd platform && $(SCHEMA) --only-models -o messenger/configuration.go $(CONFIGURATION)
	$(MAKE) format-generated

format-generated: tools
	$(TOOLS)/gofumpt -w platform/messenger

check-generated: generate
	git diff --exit-code -- wire/messenger platform/messenger

check: check-format vet lint test

demo: build
	./bin/rosemaryspool demo

clean:
	rm -rf bin

# Simulates one random history of leases, orders, configuration changes and at-most-once calls for each seed and checks
# the invariants: make check-histories SEEDS=FROM-TO.
check-histories: SEEDS ?= 1-200

.PHONY: check-histories

check-histories:
	go run ./core/checker/command -seeds=$(SEEDS)

DEPLOYMENT ?= kalipci,luminaria
measure: SEEDS ?= 1-5
LOAD ?= 0.6,0.8,0.9,1.0,1.3
FAULT ?= none
POLICY ?= all
MINUTES ?= 30
PARALLEL ?= 4

.PHONY: measure plots

measure: build
	./bin/standin measure --deployment $(DEPLOYMENT) --seeds $(SEEDS) --load $(LOAD) --fault $(FAULT) \
		--policy $(POLICY) --minutes $(MINUTES) --parallel $(PARALLEL) --losses

plots: build
	./bin/standin measure --deployment kalipci --seeds 1 --load 0.9 --policy all --plot docs/plots/kalipci.svg
	./bin/standin measure --deployment luminaria --seeds 1 --load 0.9 --policy all --plot docs/plots/luminaria.svg

.PHONY: bench

bench:
	go test -run '^$$' -bench . -benchtime 20000x ./rosemaryspool/demonstrator

.PHONY: fuzz-configuration fuzz-responses bench-configuration

FUZZTIME ?= 30s

fuzz-configuration:
	go test -run '^$$' -fuzz FuzzParse -fuzztime $(FUZZTIME) -fuzzminimizetime 20x ./core/configurer
	go test -run '^$$' -fuzz FuzzApply -fuzztime $(FUZZTIME) -fuzzminimizetime 20x ./core/configurer

fuzz-responses:
	go test -run '^$$' -fuzz FuzzResponse -fuzztime $(FUZZTIME) ./rosemaryspool/connector

bench-configuration:
	go test -run '^$$' -bench . -benchmem ./core/configurer
	go test -run '^$$' -bench FoldOneCaller -benchmem ./core/replayer

SECONDS ?= 40
SEED ?= 1

.PHONY: today

# Runs 7 daemons and the stand-ins of a deployment as processes: make today DEPLOYMENT=kalipci SECONDS=40 SEED=1.
today: build
	scripts/today.sh $(DEPLOYMENT) $(SECONDS) $(SEED)

PARTS ?= scheduler,callers,configuration,control,claims,reports,appends,spread


PARTS ?= scheduler,callers,configuration,control,claims,reports,appends,spread,failures,roles

.PHONY: capacity

# Measures on one processor how the costs of the core grow with size and extrapolates them to the target size, and counts
# what one gateway instance sends to the others.
capacity: build
	./bin/standin capacity --parts $(PARTS)
	go test -run '^$$' -bench Messages -benchtime 1x ./rosemaryspool/gossiper
	go test -run '^$$' -bench LearnFullReport ./core/isolator

# Seeds of the soak test and its length in minutes for each seed.
SEEDS ?= 1-3
MINUTES ?= 0.5

soak: build
	./bin/standin soak --seeds $(SEEDS) --minutes $(MINUTES)
