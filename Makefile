# `make check` runs every test; it makes `.venv-ci` first.
PYTHON ?= python3
VENV := .venv-ci

.PHONY: check
check: $(VENV)/ready
	PATH="$(CURDIR)/$(VENV)/bin:$$PATH" sh tests/check.sh

$(VENV)/ready: pyproject.toml requirements.txt
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip -q --disable-pip-version-check install -e ".[dev]"
	touch $@
