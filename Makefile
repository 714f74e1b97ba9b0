# `make demo` and `make check` install missing packages and build first.

JOBS := $(shell nproc)
SOURCES = $(shell git ls-files -co --exclude-standard 'src/*.[ch]' 'platform/*.[ch]' \
	'standins/*.[ch]' 'bench/*.[ch]' 'tests/*.[ch]' 'tests/*.cc' 'bench/*.cc')
C_SOURCES = $(filter %.c,$(SOURCES))

.PHONY: all deps build demo demo-requests host-test crowd-test soak soak-quick family-quick takeover check format lint docs docs-check test faults bench policy process-test \
	sanitize-address sanitize-thread clean

all: build

deps:
	@bash tools/deps.sh

build: deps
	@cmake -S . -B build -DCMAKE_BUILD_TYPE=RelWithDebInfo >/dev/null
	@cmake --build build -j$(JOBS) -- --no-print-directory -s >/dev/null

demo: build
	@bash tools/host_demo.sh 2>/dev/null

demo-requests: build
	@bash tools/demo.sh

format:
	clang-format -i $(SOURCES)

lint: build
	@clang-format --dry-run --Werror $(SOURCES)
	@printf '%s\n' $(C_SOURCES) | xargs -P$(JOBS) -n4 clang-tidy \
		--quiet -p build 2>/dev/null
	@cppcheck --quiet --error-exitcode=1 -j$(JOBS) --std=c11 -Isrc -I. \
		--enable=warning,performance,portability --inline-suppr \
		--suppressions-list=.cppcheck $(C_SOURCES)
	@echo "lint: clean"

PROGRAMS = basilshift-hostd basilshift-entryd basilshift-schedd basilshift-ctl \
	basilshift-timeline basilshift-explain basilshift-load basilshift-faults \
	standin-platform standin-worker standin-gridstore standin-gridworker \
	standin-proxy standin-crowd

build/SETTINGS.md: build
	@printf '# Settings\n\nWritten by `make docs` from the tables of the programs.\n\n' >$@
	@for p in $(PROGRAMS); do build/bin/$$p --write-docs >>$@; done

docs: build/SETTINGS.md
	@cp build/SETTINGS.md docs/SETTINGS.md

docs-check: build/SETTINGS.md
	@diff -u docs/SETTINGS.md build/SETTINGS.md || \
		{ echo "docs/SETTINGS.md is stale: run make docs"; exit 1; }

test: build
	@bash tools/known_red_test.sh
	@bash tools/judge_test.sh
	@bash deploy/random_days_test.sh
	@QUIET=1 bash tools/build_test.sh
	@GTEST_FILTER="$$(bash tools/known_red.sh plain)" \
		ctest --test-dir build --output-on-failure -j$(JOBS)

sanitize-address sanitize-thread: sanitize-%: deps
	@cmake -S . -B build-$* -DSANITIZE=$* -DCMAKE_BUILD_TYPE=Debug >/dev/null
	@cmake --build build-$* -j$(JOBS) -- --no-print-directory -s >/dev/null
	@GTEST_FILTER="$$(bash tools/known_red.sh $*)" \
		ctest --test-dir build-$* --output-on-failure -j$(JOBS) $(SKIP_$*)

check: lint docs-check test sanitize-address sanitize-thread process-test host-test soak-quick family-quick crowd-test

# Each case of the fault matrix runs in one thread without shared memory, so the
# thread sanitizer has nothing to find in it.
SKIP_thread = -E faults

bench: build
	@bash tools/bench.sh
	@build/bin/cell_bench 2>/dev/null
	@build/bin/owner_bench 2>/dev/null

policy: build
	@build/bin/basilshift-policy

process-test: build
	@bash tools/process_test.sh

host-test: build
	@bash tools/host_test.sh 2>/dev/null

crowd-test: build
	@bash tools/crowd_test.sh 2>/dev/null

soak: build
	@bash tools/soak.sh --seed=$(or $(SEED),1) --seconds=$(or $(SECONDS_),30) --calls

takeover: build
	@bash tools/takeover.sh 2>/dev/null

soak-quick: build
	@bash tools/soak.sh --seed=1 --seconds=12 2>/dev/null
	@bash tools/soak.sh --seed=1 --seconds=12 --calls 2>/dev/null

# One play of each family, beside each other.
family-quick: build
	@for f in listing:6 cancels:1 crashes:6 reader:6 expiry:2; do \
		bash tools/family.sh $${f%:*} --seed=$${f#*:} 2>/dev/null & pids="$$pids $$!"; \
	done; failed=0; for p in $$pids; do wait $$p || failed=1; done; exit $$failed

faults: build
	@build/bin/basilshift-faults $(if $(CASE),--case=$(CASE))

clean:
	rm -rf build build-address build-thread
