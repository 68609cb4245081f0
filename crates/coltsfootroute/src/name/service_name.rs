//! Name of a service.

name_type! {
    /// A service of the call graph, unique within a deployment.
    ServiceName
}
