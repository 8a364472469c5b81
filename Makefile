.PHONY: run test test-sanitizers test-processes build install policy-bench \
	capacity membership-bench

# Installs what is missing, builds the program alone, and runs the main job on
# the embedded platform.
run: install
	cmake --preset release >/dev/null
	cmake --build --preset release --target acaciastile
	build/release/acaciastile dev

# Installs what is missing, builds, and runs the tests.
test: build
	ctest --test-dir build/release --output-on-failure -j 4

# The same tests under the sanitizers: addresses and undefined behaviour, then
# data races.
test-sanitizers: install
	for kind in asan tsan; do \
		cmake --preset $$kind >/dev/null && \
		cmake --build --preset $$kind && \
		ctest --test-dir build/$$kind --output-on-failure -j 4 || exit 1; \
	done

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

# Measures how each role's costs grow; docs/CAPACITY.md reads them off at the
# size that the system is designed for.
capacity: build
	build/release/bench/capacity --out=build/capacity.json

# Measures what membership costs a member at rising numbers of members.
membership-bench: build
	build/release/bench/membership_cost

# Nine real processes on loopback: one killed, one paused past its lease, one
# stopped under load; then every promise is held against what truly ran.
test-processes: build
	tests/processes/run
