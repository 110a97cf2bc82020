# Every target sets up what it needs in $(VENV); a fresh machine has Python 3.11 and pip.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := schema core entry cli
EMPTY :=
SPACE := $(EMPTY) $(EMPTY)
SOURCES := $(PACKAGES:%=$(CURDIR)/packages/%/src) $(CURDIR)/platform/src $(CURDIR)
export PYTHONPATH := $(subst $(SPACE),:,$(SOURCES))
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: help setup demo test lint format generate generated-check measure prove soak clean

help:
	@echo "make demo     play jobs on the platform path, then a mixed load on the own interface; check all"
	@echo "make test     run all tests"
	@echo "make lint     check format and lint"
	@echo "make measure  replay all recorded traces and write the table of measures"
	@echo "make prove    switch each mechanism off and check that its tests fail"
	@echo "make soak     run the real programs under random faults (FIRST=1 SEEDS=50)"
	@echo "make generate write the generated code again from the schema"

$(VENV)/.installed: constraints.txt requirements-dev.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -r requirements-dev.txt
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt $(foreach p,$(PACKAGES),-e packages/$(p)) -e platform
	@touch $@

setup: $(VENV)/.installed

demo: setup
	$(BIN)/python -m demo.jobs
	$(BIN)/python -m demo.demo

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/black --check --quiet packages platform deploy demo tests tools || { echo "black: run 'make format'"; exit 1; }
	$(BIN)/ruff check packages platform deploy demo tests tools

format: setup
	$(BIN)/black --quiet packages platform deploy demo tests tools
	$(BIN)/ruff check --fix packages platform deploy demo tests tools

generate: setup
	PYTHON=$(abspath $(BIN)/python) tools/generate

generated-check: generate
	git diff --exit-code -- packages/schema/src/ibiscart_schema/generated

measure: setup
	$(BIN)/python -m ibiscart_cli.main measure traces --output docs/measures

soak: setup
	$(BIN)/python -m tests.soak.run $(or $(FIRST),1) $(or $(SEEDS),50)

prove: setup
	$(BIN)/python tools/prove.py

clean:
	rm -rf $(VENV) build
