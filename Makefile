# `make help` lists the targets.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
PACKAGES := $(patsubst %/pyproject.toml,%,$(wildcard libs/*/pyproject.toml apps/*/pyproject.toml tools/*/pyproject.toml platform/pyproject.toml))

.PHONY: help env format lint types imports unit test demo clean

help: ## Print this list.
	@grep -E '^[a-z]+:.*##' Makefile | sed 's/:.*##/:/'

env: $(VENV)/.stamp ## Build the environment in .venv.

$(VENV)/.stamp: requirements.txt $(addsuffix /pyproject.toml,$(PACKAGES))
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation $(addprefix -e ./,$(PACKAGES))
	@touch $@

format: env ## Rewrite the sources in the house format.
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lint: env ## Check format and lint rules.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

types: env ## Check types.
	$(BIN)/mypy $(wildcard libs/*/src apps/*/src tools/*/src platform/src)

imports: env ## Check the layering of the packages.
	$(BIN)/lint-imports

unit: env ## Run every test file; the last line counts them.
	$(BIN)/python scripts/run_tests.py

test: lint types imports unit ## Everything that CI runs.

demo: env ## Start everything on loopback, run two programs, stop it again.
	$(BIN)/python scripts/demo.py

clean: ## Remove the environment and caches.
	rm -rf $(VENV) .mypy_cache .ruff_cache .hypothesis build run
