# Entry points for people and CI. The build itself is CMake's.
BUILD ?= build
JOBS ?= $(shell nproc)
CMAKE_FLAGS ?=

PACKAGES := g++ cmake ninja-build make ccache pkg-config python3 clang-format clang-tidy clang-tools \
	libsigc++-3.0-dev libevent-dev libwebsocketpp-dev nlohmann-json3-dev libboost-dev \
	libboost-program-options-dev libeasyloggingpp-dev doctest-dev libyaml-cpp-dev \
	libcbor-dev rapidjson-dev

.PHONY: help deps build quick check check-asan soak bench demo format format-check lint docs-check test clean

help:
	@echo "make demo        run the whole system on loopback and print a table"
	@echo "make quick       format, build, unit and virtual-time tests: for every change"
	@echo "make check       formatter, linter, build, unit and process tests, docs links"
	@echo "make soak        invariant tests over N=10000 seeded schedules"
	@echo "make bench       measure the policies in virtual time against bench/bounds.yaml"
	@echo "make check-asan  unit and process tests with the address and undefined sanitizers"
	@echo "make format      rewrite the sources in the house style"

deps:
	@scripts/install-deps.sh $(PACKAGES)

build: deps
	@cmake -S . -B $(BUILD) -G Ninja $(CMAKE_FLAGS) >$(BUILD).configure.log 2>&1 || \
		{ cat $(BUILD).configure.log; exit 1; }
	@cmake --build $(BUILD) -j $(JOBS)

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format -i

format-check: deps
	@git ls-files -co --exclude-standard '*.cpp' '*.h' | xargs clang-format --dry-run -Werror

lint: build
	@python3 scripts/lint.py $(BUILD) $(JOBS)

docs-check:
	@python3 scripts/check_docs.py

test: build
	@cd $(BUILD) && ctest --output-on-failure -j $(JOBS) --no-tests=error -E '^known_red_'
	@cat KNOWN-RED.txt

quick: format build
	@cd $(BUILD) && ctest --output-on-failure -j $(JOBS) --no-tests=error -L 'unit|invariant' -E '^known_red_'

check: format-check docs-check build lint test

check-asan:
	@$(MAKE) BUILD=build-asan CMAKE_FLAGS=-DMONSOONLEDGE_SANITIZE=ON test

N ?= 10000
soak: build
	@scripts/soak.sh $(BUILD) $(N) $(JOBS)

bench: build
	@$(BUILD)/bench/monsoonledge_bench bench/model.yaml bench/bounds.yaml $(BUILD)/bench.json

demo: build
	@python3 scripts/demo.py --build $(BUILD)

clean:
	@rm -rf build build-asan
