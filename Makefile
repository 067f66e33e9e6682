PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test format check unit binary

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m bulrushrudder demo

test: check unit

check: $(VENV)/.installed
	$(BIN)/ruff format --check bulrushrudder scripts
	$(BIN)/ruff check bulrushrudder scripts
	$(BIN)/flake8 bulrushrudder scripts

unit: $(VENV)/.installed
	$(BIN)/python -m bulrushrudder.tests

format: $(VENV)/.installed
	$(BIN)/ruff format bulrushrudder scripts
	$(BIN)/ruff check --fix bulrushrudder scripts
