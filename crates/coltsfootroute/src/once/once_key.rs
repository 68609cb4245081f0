//! What a claim is about.

use sha2::{Digest, Sha256};

use super::{ClientKey, hex_text};
use crate::{
    name::{OperationName, ServiceName},
    table::RowKey,
};

record_type! {
    /// One request that must not run twice: the client's key within one operation.
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
    /// Common start of the rows of all claims.
    pub const ROW_PREFIX: &str = "once/";

    /// The row of the key's record. The client's key enters as a digest: of bounded length, and without
    /// characters that mean something in a row key.
    pub fn row_key(&self) -> RowKey {
        let digest = Sha256::digest(self.client_key.as_str());
        let digest = hex_text::to_hex(&digest);
        RowKey::from(format!("{}{}/{}/{digest}", Self::ROW_PREFIX, self.service, self.operation))
    }
}
