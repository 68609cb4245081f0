//! Many gossip engines in one process, passing encoded datagrams to each other on a driven clock.

mod gossip_mesh;
mod mesh_traffic;

pub use gossip_mesh::{GossipMesh, STEP, service_name};
pub use mesh_traffic::MeshTraffic;
