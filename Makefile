# Targets: setup, demo, binary, test, format, schema, bench-NAME, soak, soak-router,
# soak-server, soak-stream, soak-upgrade, mutants, model-check.
PYTHON ?= python3.11
VENV ?= .venv
TEST_PROCESSES ?= 4
BIN := $(VENV)/bin
RUN := $(BIN)/python -m

.PHONY: setup demo binary test format schema reference soak soak-router soak-server \
	soak-stream soak-upgrade mutants model-check

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements.lock
	touch $@

demo: setup
	$(RUN) bronzesail demo

binary: setup
	PYTHONHASHSEED=0 $(RUN) tools.binary

test: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(RUN) tools.generate_schema --check
	$(RUN) tools.generate_reference --check
	$(RUN) mypy
	$(RUN) tests.model_check
	$(RUN) pytest --numprocesses $(TEST_PROCESSES) --dist loadfile

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

schema: setup
	$(RUN) tools.generate_schema
	$(BIN)/ruff format --quiet bronzesail/schema

bench-%: setup
	$(RUN) benchmarks.$*

reference: setup
	$(RUN) tools.generate_reference

mutants: setup
	$(RUN) benchmarks.budget_mutants
	$(RUN) tools.mutants

DURATION_S ?= 60
SEED ?= 1
soak: setup
	$(RUN) benchmarks.soak --duration-s $(DURATION_S) --seed $(SEED)

# PLANT names a guard to drop, which must be noticed: see tests/model_check.py.
model-check: setup
	$(RUN) tests.model_check $(if $(PLANT),--plant $(PLANT))

SEEDS ?= 50
soak-router: setup
	$(RUN) tests.router_soak --first $(SEED) --seeds $(SEEDS)

soak-server: setup
	$(RUN) tests.server_soak --first $(SEED) --seeds $(SEEDS) $(SOAK_OPTIONS)

soak-stream: setup
	$(RUN) tests.stream_soak --first $(SEED) --seeds $(SEEDS) $(SOAK_OPTIONS)

# PRODUCTION names the commit of the earlier build.
soak-upgrade: setup
	$(RUN) tests.upgrade_soak $(PRODUCTION) --first $(SEED) --seeds $(SEEDS)
