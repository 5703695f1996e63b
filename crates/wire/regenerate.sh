#!/bin/sh
# Regenerates src/egret_capnp.rs. Needs Debian's capnproto and capnpc-rust
# (cargo install capnpc); the build itself needs neither.
cd "$(dirname "$0")" || exit 1
capnp compile -orust:src --src-prefix=schema schema/egret.capnp
