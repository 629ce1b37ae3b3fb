# `build` and the targets that depend on it install the packages they need, so that the README's two commands work on a
# new machine.
BUILD ?= build
JOBS ?= 8
SANITIZE ?= OFF
TARGETS ?= all

.PHONY: all packages build test faults demo format format-check lint sanitize clean

all: build

packages:
	tools/install_packages.sh

build: packages
	cmake -S . -B $(BUILD) -G Ninja -DZINNIA_SANITIZE=$(SANITIZE)
	cmake --build $(BUILD) -j $(JOBS) --target $(TARGETS)

test: build
	tools/run_tests.sh $(BUILD)

# Only the fault tests of real processes. They do not need the unit tests to be built.
faults:
	$(MAKE) build TARGETS=programs
	tools/run_tests.sh $(BUILD) faults

demo: build
	tools/demo.sh $(BUILD)

format:
	tools/format.sh -i

format-check:
	tools/format.sh --dry-run -Werror

lint:
	tools/lint.sh

# Only the unit tests: daemons with sanitizers are too slow for the load of the fault tests.
sanitize:
	$(MAKE) build BUILD=build-sanitize SANITIZE=ON TARGETS="zinnia_tests kandy tanrend"
	tools/run_tests.sh build-sanitize units

clean:
	cmake -E rm -rf build build-sanitize build-fuzz
