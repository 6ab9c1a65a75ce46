# `make run` and `make test` need no other set-up on a fresh Debian system.
BUILD ?= build
JOBS ?= $(shell nproc)
export CCACHE_BASEDIR ?= $(CURDIR)
export CCACHE_NOHASHDIR ?= 1

.PHONY: run test build release bench check-format lint install-packages

run: build
	$(BUILD)/turmericshift demo

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j $(JOBS)

# Runs all benchmark suites; prints a table and writes the same figures as JSON to the build folder.
bench: build
	$(BUILD)/turmericshift bench --json $(BUILD)/bench.json

build: install-packages
	cmake -S . -B $(BUILD) -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	cmake --build $(BUILD) -j $(JOBS)

# Builds only the program, as it is delivered.
release: install-packages
	cmake -S . -B $(BUILD)-release -G Ninja -DCMAKE_BUILD_TYPE=Release -DBUILD_TESTS=OFF \
	  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
	cmake --build $(BUILD)-release -j $(JOBS)

install-packages:
	./misc/install_packages.sh

check-format:
	./misc/check_format.sh

lint: build
	./misc/lint.sh $(BUILD)
