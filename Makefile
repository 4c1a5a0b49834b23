VENV ?= .venv
PYTHON ?= python3
BIN = $(VENV)/bin

.PHONY: setup test lint demo format lock

setup: $(VENV)/.ready

$(VENV)/.ready: requirements.lock pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	$(BIN)/pip install --quiet --no-deps --editable .
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

test: lint
	$(BIN)/python -m pytest

demo: setup
	$(BIN)/burdockdock demo

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

lock:
	$(BIN)/pip-compile --quiet --no-header --no-emit-index-url --no-emit-find-links --extra test --output-file requirements.lock pyproject.toml
