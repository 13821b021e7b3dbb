# Every target sets up what it needs, on a machine with Python 3.11, pip and make.
PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
BENCH ?= short

.PHONY: setup demo serve test format bench soak fleet-soak plots policies binary capacity docs

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.lock
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

demo: setup
	$(BIN)/dalemast demo

serve: setup
	exec $(BIN)/dalemast local

test: setup
	$(BIN)/ruff format --check dalemast tests
	$(BIN)/ruff check dalemast tests
	$(BIN)/mypy
	CI=true $(BIN)/python -m pytest

format: setup
	$(BIN)/ruff format dalemast tests
	$(BIN)/ruff check --fix dalemast tests

bench: setup
	$(BIN)/python -m dalemast.bench --scenario $(BENCH) --output build/bench.jsonl

soak: setup
	$(BIN)/python -m pytest tests/core/test_promises.py -p no:cacheprovider --soak $(or $(SECONDS),60)

fleet-soak: setup
	$(BIN)/python -m tests.soak --seeds $(or $(SEEDS),10) --seconds $(or $(SECONDS),15)

plots: setup
	$(BIN)/python -m dalemast.bench.plots $(if $(LOG),--log $(LOG))

policies: setup
	$(BIN)/python -m dalemast.bench.policies $(ARGS)

capacity: setup
	$(BIN)/python -m dalemast.bench.capacity --check

docs: setup
	$(BIN)/python -m dalemast.bench.capacity --write
	$(BIN)/dalemast reference errors --output docs/reference/ERRORS.md
	$(BIN)/dalemast reference settings --output docs/reference/settings.md

binary: setup
	$(BIN)/python -m dalemast.bench.binary
