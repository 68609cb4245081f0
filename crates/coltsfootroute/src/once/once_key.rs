//! Key of a claim.

use sha2::{Digest, Sha256};

use super::{ClientKey, hex_text};
use crate::{
    name::{OperationName, ServiceName},
    table::RowKey,
};

record_type! {
    /// Identifies a request that must run at most once: the client's key within one operation.
    #[derive(Hash)]
    pub struct OnceKey {
        /// Service of the operation.
        pub service: ServiceName,
        /// Operation that must not be repeated.
        pub operation: OperationName,
        /// The client's key.
        pub client_key: ClientKey,
    }
}

impl OnceKey {
    /// Prefix of the row keys of all claims.
    pub const ROW_PREFIX: &str = "once/";

    /// Returns the key of the record's row. It contains a digest of the client's key, which has a bounded
    /// length and no characters with a meaning in row keys.
    pub fn row_key(&self) -> RowKey {
        let digest = Sha256::digest(self.client_key.as_str());
        let digest = hex_text::to_hex(&digest);
        RowKey::from(format!("{}{}/{}/{digest}", Self::ROW_PREFIX, self.service, self.operation))
    }
}
