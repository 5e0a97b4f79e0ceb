# The usual tasks; CMake does the work.
.PHONY: packages build demo test lint format config-docs capacity bench run clean

# On a bare Debian machine; needs root only where something is missing.
packages:
	tools/install-packages

build: packages
	cmake -B build -DCMAKE_BUILD_TYPE=Release
	cmake --build build -j4

# A minute of five dispatchers that agree on their rules, with a kill and a cut.
demo: build
	build/brasslift-lab demo

test: packages
	cmake --workflow --preset test

lint:
	clang-format --dry-run --Werror $$(git ls-files '*.cpp' '*.hpp')

format:
	clang-format -i $$(git ls-files '*.cpp' '*.hpp')

config-docs: build
	cmake --build build --target schema_doc
	cmake -DTOOL=build/schema_doc -DSCHEMA=build/proto/brasslift_schema.desc -DDOC=docs/config-language.md -DWRITE=ON -P tests/schema_doc.cmake

# docs/CAPACITY.md, out of deploy/size.textproto and the results in docs/capacity.
capacity: build
	cmake -DTOOL=build/brasslift-lab -DROOT=. -DWRITE=ON -P tests/capacity_page.cmake

bench: packages
	cmake -B build-bench -DCMAKE_BUILD_TYPE=Release -DBRASSLIFT_BENCH=ON
	cmake --build build-bench -j4

run: build
	exec build/brasslift serve

clean:
	rm -rf build build-test build-bench
