PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint format binary bench capacity soak

$(VENV)/.ready: requirements.lock requirements-deploy.lock requirements-dev.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.lock
	touch $@

setup: $(VENV)/.ready

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: setup lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/python -m tools.demo

bench: setup
	$(BIN)/python -m tools.bench

capacity: setup
	$(BIN)/python -m tools.capacity

soak: setup
	$(BIN)/python -m tools.soak --seeds 50

binary: setup
	$(BIN)/python -m tools.binary
