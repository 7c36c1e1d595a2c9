# build, test, lint and run on a new checkout; `make toy` beside `make run` shows it at work
PYTHON ?= python3
BIN = .venv/bin

.PHONY: build test lint run toy

build: $(BIN)/.built

$(BIN)/.built: requirements.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(BIN)/python -m pytest

lint: build
	$(BIN)/ruff check .

run: build
	$(BIN)/python -m granitespool serve --config examples/config.json

toy: build
	PYTHONPATH=. $(BIN)/python examples/toy.py
