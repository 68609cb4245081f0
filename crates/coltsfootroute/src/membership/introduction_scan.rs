//! Reading the rows by which newcomers find other nodes.

use rand::{Rng, RngExt};

use super::{IntroductionRow, introduction_row::PREFIX};
use crate::{
    id::NodeId,
    name::ServiceName,
    table::{TableReply, TableRequest},
};

/// Rows read at a time.
const PAGE_ROWS: usize = 32;
/// First characters of services' names.
const FIRST_CHARACTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";

/// Reads the rows page by page, round and round.
#[derive(Clone, Debug)]
pub struct IntroductionScan {
    /// Common start of the keys that are read.
    prefix: String,
    /// Last key read.
    after: String,
}

impl IntroductionScan {
    /// A scan of all rows that starts anywhere: newcomers of a large deployment neither read all of it nor all
    /// the same part.
    pub fn new(rng: &mut impl Rng) -> Self {
        let first = FIRST_CHARACTERS[rng.random_range(0..FIRST_CHARACTERS.len())];
        Self { prefix: PREFIX.to_owned(), after: format!("{PREFIX}{}", char::from(first)) }
    }

    /// A scan of the rows of one service.
    pub fn of_service(service: &ServiceName) -> Self {
        Self { prefix: format!("{PREFIX}{service}/"), after: String::new() }
    }

    /// Asks for the next page.
    pub fn request(&self) -> TableRequest {
        let after = self.after.clone();
        TableRequest::Scan { prefix: self.prefix.clone(), after, limit: PAGE_ROWS }
    }

    /// Takes a page and gives the nodes on it; a reply without rows leaves the scan where it is. After
    /// the last page comes the first.
    pub fn take(&mut self, reply: &TableReply) -> Vec<NodeId> {
        let TableReply::Rows(rows) = reply else { return Vec::new() };
        self.after = match rows.last() {
            Some(last) if rows.len() >= PAGE_ROWS => last.key.as_str().to_owned(),
            _ => String::new(),
        };
        rows.iter().filter_map(|row| IntroductionRow::node_of(&row.key)).collect()
    }

    /// Whether the next page is the first of all.
    pub fn is_at_start(&self) -> bool {
        self.after.is_empty()
    }
}
