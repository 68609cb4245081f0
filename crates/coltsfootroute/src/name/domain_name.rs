//! Name of a failure domain.

name_type! {
    /// A failure domain: hosts that tend to fail together, such as `dar-a`.
    DomainName
}
