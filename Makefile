PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin
SOURCES = chicoryshunt lab tests

TARGETS = $(shell grep -oE '^[a-z-]+:' Makefile | tr -d ':')

.PHONY: $(TARGETS)

help:  ## list the targets
	@grep -hE '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

$(VENV)/.installed: requirements/run.txt requirements/dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements/dev.txt
	touch $@

venv: $(VENV)/.installed  ## build the virtual environment

format: venv  ## rewrite the sources in the project's format
	$(BIN)/ruff check --select I --fix $(SOURCES)
	$(BIN)/ruff format $(SOURCES)

lint: venv  ## formatter and linters, without changes
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)
	$(BIN)/flake8 $(SOURCES)

types: venv  ## type checks
	$(BIN)/mypy

unit: venv  ## tests alone
	$(BIN)/python -m pytest -n 8

test: lint types unit  ## everything CI asks for

bench-leases: venv  ## leases against local shares and a central count
	$(BIN)/python -m lab.benchmarks.lease_bench

bench-ownership: venv  ## processor time and memory of owned calls, appended to benchmarks/
	$(BIN)/python -m lab.benchmarks.ownership_bench

drain-trial: venv  ## a node stopped in the middle of its streams and calls
	$(BIN)/python -m lab.trials.drain_trial

bench-scale: venv  ## cost of control as the fleet grows, appended to benchmarks/
	$(BIN)/python -m lab.benchmarks.scale_bench

bench-relay: venv  ## processor time of a relayed token, appended to benchmarks/
	$(BIN)/python -m lab.benchmarks.relay_bench

faults: venv  ## streams through real processes while engines misbehave
	$(BIN)/python -m lab.trials.stream_faults

bench-config: venv  ## costs of the configuration, appended to benchmarks/
	$(BIN)/python -m lab.benchmarks.config_bench

trial-config: venv  ## patches on nine nodes while the platform and nodes fail
	$(BIN)/python -m lab.trials.config_trial

demo: venv  ## a small fleet on loopback, one stream, one filing
	$(BIN)/python -m lab.trials.demo

trials: venv  ## nine nodes under failures, promises counted
	$(BIN)/python -m lab.trials.trials

bench-policy: venv  ## decisions under load; QUICK=1 for a few short runs
	$(BIN)/python -m lab.benchmarks.policy_bench $(if $(QUICK),--quick)

soak: venv  ## real nodes under random faults; SEED, SEEDS, SECONDS, KEEP
	$(BIN)/python -m lab.soak.soak --seed=$(or $(SEED),1) \
		--seeds=$(or $(SEEDS),1) --seconds=$(or $(SECONDS),8) \
		--keep=$(or $(KEEP),/tmp/chicoryshunt-soak)

soak-stops: venv  ## planned stops of real nodes; SEED, SEEDS, SECONDS, NODES
	$(BIN)/python -m lab.soak.stops --seed=$(or $(SEED),1) \
		--seeds=$(or $(SEEDS),1) --seconds=$(or $(SECONDS),14) \
		--nodes=$(or $(NODES),6) \
		--keep=$(or $(KEEP),/tmp/chicoryshunt-soak)

soak-regressions: venv  ## the seeds of the soak that once failed
	$(BIN)/python -m lab.soak.soak --regressions
