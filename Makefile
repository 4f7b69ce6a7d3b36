VENV := .venv
BIN := $(VENV)/bin
READY := $(VENV)/.ready

.PHONY: test demo run browser capacity format clean

$(READY): pyproject.toml constraints.txt
	python3 -m venv $(VENV)
	$(BIN)/pip install --quiet --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(READY)

test: $(READY)
	$(BIN)/python tools/ci.py

demo: $(READY)
	$(BIN)/lagoontide local --deployment=swanreach
	$(BIN)/lagoontide local --platform

run: $(READY)
	$(BIN)/lagoontide bench fleet --deployment=swanreach

browser: $(READY)
	PYTHONPATH=. $(BIN)/python tools/browser.py

capacity: $(READY)
	$(BIN)/python tools/capacity.py

format: $(READY)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

clean:
	rm -rf $(VENV) build .mypy_cache .pytest_cache .ruff_cache
