//! Generates the mesh's gRPC code with a protobuf compiler in Rust, so that no `protoc` is needed.

fn main() -> Result<(), Box<dyn std::error::Error>> {
    println!("cargo:rerun-if-changed=proto/mesh.proto");
    let descriptors = protox::compile(["proto/mesh.proto"], ["proto"])?;
    tonic_prost_build::configure().compile_fds(descriptors)?;
    Ok(())
}
