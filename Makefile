# Commands for a machine with Python 3.11, git and make.
PYTHON ?= python3
VENV ?= .venv
PY = $(VENV)/bin/python
export EVENTLET_NO_GREENDNS = yes

.PHONY: setup test lint format demo figures slopes changes fleet

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install --quiet -r requirements.lock
	touch $@

test: setup
	$(PY) -m tools.run_tests

lint: setup
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .

format: setup
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

fleet: setup
	$(PY) -m tools.fleet

demo: setup
	$(PY) -m tools.demo

figures: setup
	@$(PY) -m tools.figures

slopes: setup
	$(PY) -m tools.slopes

changes: setup
	$(PY) -m tools.changes
