# What a person at the keyboard needs; CI runs .ci/run, which calls `make test` and `make lint`.
VENV ?= .venv
# Test processes side by side.
JOBS ?= 5

build: $(VENV)/.built

$(VENV)/.built: requirements.txt requirements-lab.txt requirements-dev.txt
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	$(VENV)/bin/pip -q install --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $@

test: build
	$(VENV)/bin/python -m pytest -n $(JOBS)

lint: build
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy

# Two stand-in warehouses, the gateway with its ClickHouse front, and a load on it, on free loopback ports.
demo: build
	$(VENV)/bin/python -m lilacfront demo

# PROXY_CONFIG names the configuration, as on the platform.
run: build
	$(VENV)/bin/python -m lilacfront serve

.PHONY: build test lint demo run
