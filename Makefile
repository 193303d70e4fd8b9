# Targets for daily work; `make run` needs the PROXY_* variables that README.md names.
PYTHON = .venv/bin/python
export PYTHONDONTWRITEBYTECODE = 1

.PHONY: build demo fleet test lint format run check

build: .venv/made

.venv/made: requirements.txt requirements-operator.txt requirements-dev.txt
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements-dev.txt
	touch $@

demo: build
	$(PYTHON) -m reedspoke demo

fleet: build
	$(PYTHON) -m reedspoke.lab.fleet_emulator --control 3 --edges 2 --workers 4 --seconds 8

test: build
	$(PYTHON) -m pytest

lint: build
	.venv/bin/ruff check --no-cache .
	.venv/bin/ruff format --no-cache --check .
	.venv/bin/mypy --cache-dir=/dev/null

format: build
	.venv/bin/ruff check --no-cache --fix .
	.venv/bin/ruff format --no-cache .

check: build
	./check

run: build
	$(PYTHON) -m reedspoke
KIT = ../given/kit
.PHONY: sites
sites:
	@test -f $(KIT)/sites/wire.json || { echo "sites: no bench at $(KIT): name its folder with KIT=..." >&2; exit 1; }
	cp $(KIT)/sites/real.json $(KIT)/sites/wire.json $(KIT)/sites/unlock.txt deploy/sites/
	chmod u+w deploy/sites/real.json deploy/sites/wire.json deploy/sites/unlock.txt
