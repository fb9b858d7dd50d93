BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: demo test soak bench spec build deps check-builds cross-compile test-other-char format format-check lint clean

deps:
	@scripts/install-packages

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_COMPILE_WARNING_AS_ERROR=ON >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

check-builds: build
	@scripts/check-builds $(BUILD)

cross-compile: build
	@scripts/cross-compile $(BUILD)

demo: build
	@scripts/demo $(BUILD)

test: build
	@scripts/run-tests $(BUILD)

test-other-char: deps
	@scripts/test-other-char $(BUILD)

soak: build
	@scripts/soak $(BUILD)

bench: build
	@scripts/bench $(BUILD)

spec: deps
	@spec/run

format:
	@git ls-files '*.cpp' '*.h' | xargs -r clang-format -i

format-check:
	@git ls-files '*.cpp' '*.h' | xargs -r clang-format --dry-run --Werror

lint: build
	@scripts/check-names
	@scripts/lint $(BUILD)

clean:
	@rm -rf $(BUILD)
