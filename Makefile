PYTHON ?= python3
VENV := .venv
DEPLOYMENT ?= vereniging
STAMP := $(VENV)/.installed

.PHONY: demo test lint setup

setup: $(STAMP)

$(STAMP): requirements.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-build-isolation --no-deps --editable .
	touch $(STAMP)

demo: setup
	$(VENV)/bin/pistachioglade-load demo --deployment $(DEPLOYMENT)

test: setup
	$(VENV)/bin/python -m pytest --ignore tests/clients
	$(VENV)/bin/python -m pytest -n 0 tests/clients

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy
