# The usual tasks; CMake does the work.
.PHONY: build test lint format run clean

build:
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

test:
	cmake --workflow --preset test

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.hpp')

format:
	clang-format -i $$(git ls-files '*.cpp' '*.hpp')

run: build
	exec build/brasslift serve

clean:
	rm -rf build build-test
