# All development tasks are targets of this file. `make demo` and `make test`
# require only Go, make and access to the Go module proxy.
GO ?= go
GOBIN := $(shell $(GO) env GOPATH)/bin
GOLANGCI_VERSION := v2.12.2
PROTOC_GEN_GO_VERSION := v1.36.12
GOPLS_VERSION := v0.23.0
# The linter caches findings with absolute paths and shows them for any package
# of equal content, so each checkout has its own cache.
LINT_CACHE = $(or $(XDG_CACHE_HOME),$(HOME)/.cache)/balsamhitch-lint$(CURDIR)
TEST_FLAGS ?= -race -count=1 -timeout=7m
RAPID_FLAGS ?= -rapid.seed=1

.PHONY: build generate check-generated fmt check-fmt tools rename-tool lint vet test unit demo bench fuzz capacity

build: ## Build all programs into bin/
	$(GO) build -o bin/ ./cmd/...

generate: ## Regenerate the protobuf code (requires protoc)
	@for dir in peer logrec; do \
	  PATH="$(GOBIN):$$PATH" protoc -I proto/$$dir --go_out=. \
	    --go_opt=module=github.com/balsamhitch/balsamhitch proto/$$dir/*.proto || exit 1; \
	done

check-generated: tools ## Fail if the committed protobuf code is out of date
	@.ci/check-generated

fmt: ## Format all Go files
	gofmt -w $$(git ls-files '*.go')

check-fmt: ## Fail if a Go file is not formatted
	@out=$$(gofmt -l $$(git ls-files '*.go')); test -z "$$out" || { echo "not formatted:"; echo "$$out"; exit 1; }

tools: ## Install the pinned linter and generator (and protoc from Debian, as root)
	@$(GOBIN)/golangci-lint version 2>/dev/null | grep -qF "$(GOLANGCI_VERSION:v%=%)" || \
	  $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	@$(GOBIN)/protoc-gen-go --version 2>/dev/null | grep -qF "$(PROTOC_GEN_GO_VERSION)" || \
	  $(GO) install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	@command -v protoc >/dev/null || { apt-get update -qq && apt-get install -y -qq protobuf-compiler; } >/dev/null

rename-tool: ## Install the pinned gopls, for renames over the whole tree
	$(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)

lint: tools ## Run the linter
	GOLANGCI_LINT_CACHE="$(LINT_CACHE)" $(GOBIN)/golangci-lint run ./...

demo: build ## Run the demonstration on loopback (takes less than a minute)
	bin/balsam-demo

bench: build ## Measure scheduling decisions and passes, then quick requests and idle programs on loopback
	$(GO) run ./internal/tool/decisionbench
	$(GO) test ./internal/core/dispatch -run '^$$' -bench Pass -benchtime 20x
	bin/balsam-bench

capacity: ## Measure the costs of each role and print the tables of docs/CAPACITY.md
	$(GO) run ./cmd/balsam-capacity

fuzz: ## Run the property tests with a random seed and many checks, then the fuzz targets
	@.ci/fuzz

vet: ## Run go vet
	$(GO) vet ./...

unit: ## Run all tests with the race detector
	$(GO) test $(TEST_FLAGS) ./...

test: check-fmt vet lint check-generated build ## Run all checks of the CI
	@.ci/run-tests
