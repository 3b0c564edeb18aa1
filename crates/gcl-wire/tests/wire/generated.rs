//! Checks that the committed code matches `proto/peer.proto`.

use std::{fs, path::Path};

#[test]
fn regenerating_changes_nothing() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated");
    fs::create_dir_all(&out).expect("the target directory is writable");
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .expect("the protocol compiles");
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(&out)
        .compile_fds(files)
        .expect("the output directory is writable");
    let fresh = fs::read_to_string(out.join("goldcrest.peer.rs")).expect("the code was written");
    let committed = include_str!("../../src/generated/goldcrest.peer.rs");
    assert!(fresh == committed, "run `cargo run -p gcl-wire --example generate`");
}
