# `make check` runs every test, `make demo` shows the program at work. Each makes `.venv-ci` first.
PYTHON ?= python3
VENV := .venv-ci

.PHONY: check demo
check: $(VENV)/ready
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" sh tests/check.sh

demo: $(VENV)/ready
	$(VENV)/bin/ironscale demo

$(VENV)/ready: pyproject.toml requirements.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip -q --disable-pip-version-check install -e ".[dev]"
	touch $@
