.PHONY: build test lint run check-config

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --locked --no-deps

# EDGE_CONFIG names the configuration's file.
run: build
	target/release/honeyknot serve

check-config: build
	target/release/honeyknot check-config
