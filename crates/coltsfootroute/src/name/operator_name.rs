//! Name of an operator.

name_type! {
    /// The operator on whose behalf a configuration was submitted.
    OperatorName
}
