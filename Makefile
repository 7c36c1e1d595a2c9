# build, test, lint and run on a new checkout; `make toy` beside `make run` shows it at work
PYTHON ?= python3
BIN = .venv/bin

.PHONY: proto build test lint run toy crash bench-log bench-state bench-restart bench-manage bench-ready bench-capacity \
	scale scale-ci soak

build: $(BIN)/.built

$(BIN)/.built: requirements.txt requirements-manage.txt requirements-dev.txt
	test -d .venv || $(PYTHON) -m venv .venv
	$(BIN)/pip -q install -r requirements-dev.txt
	touch $@

test: build
	$(BIN)/python -m pytest

lint: build
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/mypy
	$(BIN)/pyang --strict --lint granitespool/management/granitespool.yang

run: build
	$(BIN)/python -m granitespool serve --config examples/config.json

toy: build
	PYTHONPATH=. $(BIN)/python examples/toy.py

# long runs, outside CI

crash: build
	GRANITESPOOL_KILLS=300 $(BIN)/python -m pytest tests/test_state_service.py -k sigkill

bench-ready: build
	$(BIN)/python -m bench.ready

# docs/CAPACITY.md: some minutes of one core
bench-capacity: build
	$(BIN)/python -m bench.capacity --json=docs/capacity.json --page=docs/CAPACITY.md $(if $(wildcard docs/capacity-before.json),--before=docs/capacity-before.json)

bench-log: build
	$(BIN)/python -m bench.log

bench-state: build
	$(BIN)/python -m bench.state

bench-restart: build
	$(BIN)/python -m granitespool emulate run restart --set "sizes=30x150, 120x640, 500x2000"

SCENARIO ?= steady

scale: build
	mkdir -p logs
	$(BIN)/python -m granitespool scale run $(SCENARIO) --report logs/scale.json

SEED ?= 1
COUNT ?= 50

soak: build
	$(BIN)/python -m granitespool scale soak --seed $(SEED) --count $(COUNT)

scale-ci: build
	$(BIN)/python -m granitespool scale run ci

# the messages' code, after a change of gnmi.proto
proto: build
	cd granitespool/gnmi && ../../$(BIN)/python -m grpc_tools.protoc -I. --python_out=. gnmi.proto

bench-manage: build
	$(BIN)/python -m bench.manage
