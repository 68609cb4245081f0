//! Name of an operation.

name_type! {
    /// An operation of a service, unique within that service.
    OperationName
}
