PY := .venv/bin/python
PACKAGES := coord scheduling wire kernel plugins relay testing

.PHONY: install demo test soak bench lint format thrift lock reference

install: .venv/installed

.venv/installed: requirements.lock $(wildcard packages/*/pyproject.toml)
	python3 -m venv .venv
	.venv/bin/pip install --quiet --disable-pip-version-check uv
	.venv/bin/uv pip install --quiet --python $(PY) --require-hashes -r requirements.lock
	.venv/bin/uv pip install --quiet --python $(PY) --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

demo: install
	$(PY) -m nutmegdrum_testing.demo

test: install
	$(PY) -m pytest

soak: install
	$(PY) -m nutmegdrum_testing.soak --seeds $(or $(SEEDS),1-4)

bench: install
	$(PY) -m nutmegdrum_testing.bench --json run/bench.json

lint: install
	.venv/bin/black --check --quiet .
	.venv/bin/ruff check --quiet .

format: install
	.venv/bin/black --quiet .
	.venv/bin/ruff check --fix --quiet .

reference: install
	$(PY) -m nutmegdrum_testing.reference

thrift:
	thrift --gen py -out packages/wire/src packages/wire/src/nutmegdrum_wire/nutmegdrum.thrift
	rm -f packages/wire/src/__init__.py packages/wire/src/nutmegdrum_wire/gen/messages/*-remote

lock:
	uv export --quiet --all-packages --no-emit-workspace --no-header --format requirements.txt --output-file requirements.lock
