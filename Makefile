PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: demo test install ledger replay capacity

install:
	$(PYTHON) -B .ci/environment.py $(VENV)

demo: install
	$(BIN)/python -m bench.demo

test: install
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy
	PYTHONHASHSEED=0 $(BIN)/python -m pytest

ledger: install
	$(BIN)/python -m bench.ledger

replay: install
	$(BIN)/python -m bench.replay --all

capacity: install
	$(BIN)/python -m bench.capacity
