.PHONY: build test lint run check-config

build:
	cargo build --release --locked

test:
	cargo test --locked --workspace

lint:
	cargo fmt --check
	cargo clippy --locked --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --workspace --no-deps

# EDGE_CONFIG names the configuration's file.
run: build
	target/release/honeyknot serve

check-config: build
	target/release/honeyknot check-config
