# Every target works from a clean clone; the environment is made on first use.
VENV := .venv
PY := $(VENV)/bin/python
export PYTHONPATH := .

.PHONY: demo test soak fuzz bench load capacity check clean

$(VENV)/.ready: requirements.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --requirement requirements.txt
	$(VENV)/bin/pip install --quiet --no-deps --no-build-isolation \
		--config-settings editable_mode=compat --editable .
	touch $@

demo: $(VENV)/.ready
	$(PY) -m tests.demo

test: $(VENV)/.ready
	$(PY) -m tests.run

soak: $(VENV)/.ready
	$(PY) -m tests.soak --seconds 120

fuzz: $(VENV)/.ready
	EGRETSPUR_FUZZ=long $(VENV)/bin/behave --no-color --tags=@fuzz tests

bench: $(VENV)/.ready
	$(PY) -m bench.main

load: $(VENV)/.ready
	$(PY) -m bench.fleet --plot docs/load.svg

capacity: $(VENV)/.ready
	$(PY) -m bench.capacity
	$(PY) -m bench.page

check: $(VENV)/.ready
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(VENV)/bin/mypy

clean:
	rm -rf $(VENV) build *.egg-info
