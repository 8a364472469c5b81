.PHONY: run test build install policy-bench

# Installs what is missing, builds, and runs the main job on the embedded
# platform.
run: build
	build/release/acaciastile dev

# Installs what is missing, builds, and runs the tests.
test: build
	ctest --test-dir build/release --output-on-failure -j 4

build: install
	cmake --preset release >/dev/null
	cmake --build --preset release

install:
	scripts/install

# Measures the decisions: cost at the letter's size, outcomes side by side.
policy-bench: build
	mkdir -p out
	build/release/bench/policy_cost
	build/release/bench/policy_outcomes
