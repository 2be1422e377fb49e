.PHONY: try build test lint run check-config

# Runs relays, endpoints and clients on loopback; a zone fails and recovers. ARGS="--for 20s" ends the run after 20 s.
try:
	cargo build --release --locked -p honeyknot-relay -p honeyknot-testbed
	target/release/honeyknot-testbed try $(ARGS)

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace --no-fail-fast

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# The EDGE_CONFIG environment variable names the relay's configuration file.
run: build
	target/release/honeyknot-relay serve

check-config: build
	target/release/honeyknot-relay check-config
