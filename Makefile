PYTHON ?= python3.11
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: demo test format check unit binary check-binary

$(VENV)/.installed: requirements.txt requirements-dev.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --requirement requirements-dev.txt
	echo "$(CURDIR)" > $(VENV)/lib/python3.11/site-packages/here.pth
	touch $@

demo: $(VENV)/.installed
	$(BIN)/python -m bulrushrudder demo

test: check unit

check: $(VENV)/.installed
	$(BIN)/ruff format --check bulrushrudder scripts
	$(BIN)/ruff check bulrushrudder scripts
	$(BIN)/flake8 bulrushrudder scripts

unit: $(VENV)/.installed
	PYTHONHASHSEED=0 $(BIN)/python -m bulrushrudder.tests

format: $(VENV)/.installed
	$(BIN)/ruff format bulrushrudder scripts
	$(BIN)/ruff check --fix bulrushrudder scripts

build/venv/.installed: requirements.txt requirements-binary.txt
	$(PYTHON) -m venv build/venv
	build/venv/bin/pip install --quiet --requirement requirements-binary.txt
	touch $@

binary: build/venv/.installed
	build/venv/bin/python packaging/build.py

check-binary: binary
	build/venv/bin/python packaging/check_binary.py
