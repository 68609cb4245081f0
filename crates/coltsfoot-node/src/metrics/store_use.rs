//! Uses of the platform's store.

use super::metric_label::metric_label;

metric_label! {
    /// What a request to the platform's store is for.
    StoreUse {
        /// Claims on idempotency keys, with their answers.
        Claim => "claim",
        /// Configuration and its history.
        Configuration => "configuration",
        /// Introduction of newcomers.
        Introduction => "introduction",
    }
}
