#!/usr/bin/env bash
# Builds the stand-ins of review/4 and review/5. Needs no network: the crate has no dependencies.
set -euo pipefail
root="$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)"
crate="$root/review/standins-2"
cargo build --release --locked --offline --manifest-path "$crate/Cargo.toml" --target-dir "$crate/target"
