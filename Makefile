# Targets for developers; .ci/run calls the same ones.
GO ?= go

.PHONY: build test lint format demo generate check-generated

build:
	$(GO) build -o bin/ ./cmd/...

# PROCESSES is how many tests of whole processes run at a time.
PROCESSES ?= 4

# test runs everything that must pass before a commit lands, uncached, since tests of whole
# processes build programs that the cache does not know of. The tests of whole
# processes mostly wait, so several of them run beside each other. SKIP in the
# environment passes over tests by name, as KNOWN-RED.txt has them.
test:
	$(GO) vet ./...
	$(GO) test -race -count=1 -timeout 8m $${SKIP:+-skip "$$SKIP"} $$($(GO) list ./... | grep -v '/test$$')
	$(GO) tool ginkgo -race -procs $(PROCESSES) -timeout 8m ./test

lint:
	@unformatted=$$($(GO) tool -modfile=tools/go.mod gofumpt -l $$(git ls-files '*.go' | grep -v '^gen/')); \
	if [ -n "$$unformatted" ]; then echo "not formatted (run make format):"; echo "$$unformatted"; exit 1; fi
	$(GO) tool -modfile=tools/go.mod staticcheck $$($(GO) list ./... | grep -v /gen/)

format:
	$(GO) tool -modfile=tools/go.mod gofumpt -w $$(git ls-files -co --exclude-standard '*.go' | grep -v '^gen/')

# demo runs the whole path on loopback and stops by itself.
demo: build
	./scripts/demo.sh

# generate rewrites gen/ from design/; the build does not need it. The client
# side is left out: slatectl and client/ speak HTTP on their own.
generate:
	$(GO) tool goa gen slateway.example/slateway/design >/dev/null
	rm -rf gen/http/cli gen/http/openapi.json gen/http/openapi.yaml gen/http/openapi3.yaml gen/http/*/client gen/*/client.go

# check-generated fails when gen/ is not what design/ gives.
check-generated: generate
	@changed=$$(git status --porcelain -- gen); \
	if [ -n "$$changed" ]; then echo "gen/ is not current (run make generate and commit it):"; echo "$$changed"; exit 1; fi
