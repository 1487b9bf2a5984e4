# Entry points for developers and CI. CMake builds the code.
PACKAGES = g++ cmake ninja-build ccache libboost1.81-dev libcereal-dev prometheus-cpp-dev libcli11-dev \
  libspdlog-dev libexpected-dev nlohmann-json3-dev libvalijson-dev libssl-dev libxxhash-dev \
  libzstd-dev libgtest-dev libgmock-dev libbenchmark-dev
CHECK_PACKAGES = clang-format clang-tidy clang libclang-rt-14-dev python3 curl jq
# Time limit of one test program, in seconds. It only ends programs that hang.
TEST_TIMEOUT_S = 900
SUDO = $(shell [ "$$(id -u)" = 0 ] || echo sudo)

.PHONY: all build packages check-packages test format lint generate-check demo bench capacity clean

all: build

packages:
	tools/install_packages $(PACKAGES)

check-packages:
	tools/install_packages $(CHECK_PACKAGES)

build/build.ninja:
	cmake -S . -B build -G Ninja

build: build/build.ninja
	cmake --build build

test: packages build
	cd build && ctest --output-on-failure --no-tests=error --timeout $(TEST_TIMEOUT_S) -j 4

format:
	tools/check_format

lint: build/build.ninja
	tools/check_lint

generate-check:
	tools/generate --check

# Runs every program whose name ends in _bench. Each prints a table and accepts --help.
bench: build
	@set -e; for it in build/bin/*_bench; do echo "== $$(basename $$it)"; $$it; done

clean:
	rm -rf build

demo: packages check-packages build
	tools/demo

# Runs the benchmarks that measure the slopes used in docs/CAPACITY.md.
capacity: build
	@set -e; for it in limits_bench state_bench routing_bench capacity_bench; do \
	  echo "== $$it"; build/bin/$$it; done
