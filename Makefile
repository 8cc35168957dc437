# What a person at the keyboard needs; CI runs .ci/run.
VENV = .venv

build: $(VENV)/.built

$(VENV)/.built: requirements.txt requirements-dev.txt
	test -d $(VENV) || python3 -m venv $(VENV)
	$(VENV)/bin/pip -q install --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: build
	$(VENV)/bin/python -m pytest

lint: build
	$(VENV)/bin/ruff check .
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/mypy

# PROXY_CONFIG names the configuration, as on the platform.
run: build
	$(VENV)/bin/python -m lilacfront serve

.PHONY: build test lint run
