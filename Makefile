# Targets for developers; .ci/run calls the same ones.
GO ?= go

.PHONY: build test race lint format demo generate

build:
	$(GO) build -o bin/ ./cmd/...

# test runs everything that must pass before a commit lands.
test:
	$(GO) vet ./...
	$(GO) test -race -timeout 8m ./...

lint:
	@unformatted=$$($(GO) tool -modfile=tools/go.mod gofumpt -l $$(git ls-files '*.go' | grep -v '^gen/')); \
	if [ -n "$$unformatted" ]; then echo "not formatted (run make format):"; echo "$$unformatted"; exit 1; fi
	$(GO) tool -modfile=tools/go.mod staticcheck ./...

format:
	$(GO) tool -modfile=tools/go.mod gofumpt -w $$(git ls-files -co --exclude-standard '*.go' | grep -v '^gen/')
