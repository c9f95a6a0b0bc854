# Entry points for developers and CI. CMake does the build itself.
BUILD ?= build
DEPLOYMENT ?= press
JOBS ?= $(shell nproc)

.PHONY: all deps configure build test format format-check lint demo fuzz fuzz-mutants fuzz-bytes sanitize bench capacity clean

all: build

deps:
	.ci/install-packages

configure: deps
	cmake -S . -B $(BUILD) -G Ninja

build: configure
	cmake --build $(BUILD) -j $(JOBS)

test: build
	.ci/run-tests $(BUILD)

format:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

format-check:
	git ls-files '*.cpp' '*.hpp' | xargs clang-format --dry-run --Werror

lint: configure
	.ci/run-lint $(BUILD)

demo: build
	python3 demo/demo.py --build $(BUILD) --deployment $(DEPLOYMENT) $(if $(KEEP),--keep)

RUNS ?= 200
SEED ?= 1
fuzz: build
	$(BUILD)/fleet-fuzz --runs $(RUNS) --seed $(SEED)
	$(BUILD)/share-fuzz --runs $(RUNS) --seed $(SEED)

fuzz-mutants: build
	$(BUILD)/fleet-fuzz --mutants --runs $(RUNS) --seed $(SEED)
	$(BUILD)/share-fuzz --mutants --runs $(RUNS) --seed $(SEED)

# The number of runs and the seed are fixed, so that two calls do the same. Every target of fuzz/bytes runs in turn, with address and undefined
# behaviour sanitizers. For a long run: make fuzz-bytes BYTES_LIMIT=-max_total_time=180 BYTES_TARGETS="caller configuration"
BYTES_LIMIT ?= -runs=3000
BYTES_TARGETS ?= *
fuzz-bytes: deps
	cmake -S . -B $(BUILD)/bytes -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DPLANTAINPOINT_BYTES=ON
	cmake --build $(BUILD)/bytes -j $(JOBS) --target fuzz-bytes
	rm -rf $(BUILD)/bytes/corpus
	$(BUILD)/bytes/bytes-seeds $(BUILD)/bytes/corpus
	cd $(BUILD)/bytes/corpus && for target in $(BYTES_TARGETS); do \
	    echo "target $$target"; \
	    ../bytes-fuzz --target=$$target $(BYTES_LIMIT) -seed=$(SEED) -max_len=65536 -rss_limit_mb=2048 -timeout=10 -print_final_stats=1 \
	        -artifact_prefix=../$$target- $$target || exit 1; \
	done

# Runs the tests of the caller and endpoint connections and of the relay with AddressSanitizer and UndefinedBehaviorSanitizer.
sanitize: deps
	cmake -S . -B $(BUILD)/sanitize -G Ninja -DPLANTAINPOINT_SANITIZE=ON
	cmake --build $(BUILD)/sanitize -j $(JOBS) --target plantainpoint-test plantainpoint-relay platform-store-standin
	.ci/run-sanitized $(BUILD)/sanitize

# The figures of docs/CAPACITY.md are derived from this table.
capacity: build
	$(BUILD)/fleet-capacity --vms 7,20,40,80 --seconds 5 | tee bench/results/capacity.md

clean:
	rm -rf $(BUILD)

# Runs all scenarios of the placement benchmark and writes results and plots to bench/results.
bench: build
	-$(BUILD)/plantainpoint-bench --scenarios bench/scenarios.yaml --out bench/results --commit $$(git rev-parse --short HEAD)
	$(MAKE) bench-plots

# Plots goodput over load as SVG. Needs gnuplot-nox.
bench-plots:
	for table in bench/results/goodput-*.tsv; do gnuplot -e "table='$$table'; picture='$${table%.tsv}.svg'" bench/goodput.gp; done
