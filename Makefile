GO ?= go
BIN := bin

.PHONY: all build test demo lint gen docs clean

all: build

build:
	@mkdir -p $(BIN)
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs every test that is not listed in KNOWN-RED.txt. Those of crowd/ measure what whole
# processes take, so they run after the others.
test: build
	@skip=$$(awk -F'|' '/^Test/ {gsub(/ /, "", $$1); s = s (s ? "|" : "") "^" $$1 "$$"} END {print s}' KNOWN-RED.txt); \
	$(GO) test -count=1 -timeout 480s $${skip:+-skip "$$skip"} $$($(GO) list ./... | grep -v '/crowd$$') && \
	$(GO) test -count=1 -timeout 480s -p 1 $${skip:+-skip "$$skip"} ./crowd

demo: build
	$(BIN)/fakes demo --bin $(BIN)

lint:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "gofmt differs: $$out"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool -modfile=tools/go.mod revive -config .ci/revive.toml -set_exit_status ./...

# Regenerates gen/ from proto/; the result is committed.
gen:
	@mkdir -p $(BIN)/gen
	cd tools && $(GO) build -o ../$(BIN)/gen/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc connectrpc.com/connect/cmd/protoc-gen-connect-go
	cd proto && PATH="$$(pwd)/../$(BIN)/gen:$$PATH" buf generate --template buf.gen.pub.yaml
	cd proto && PATH="$$(pwd)/../$(BIN)/gen:$$PATH" buf generate --template buf.gen.mesh.yaml

docs: build
	$(BIN)/mustardnotch explain --table > docs/CODES.md

clean:
	rm -rf $(BIN)
