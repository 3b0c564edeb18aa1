//! Generates the code of the peer protocol into `src/generated`.

use std::path::Path;

fn main() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = protox::compile([root.join("proto/peer.proto")], [root.join("proto")])
        .expect("the protocol compiles");
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(root.join("src/generated"))
        .compile_fds(files)
        .expect("the output directory is writable");
}
