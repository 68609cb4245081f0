//! Scan of the rows by which newly started nodes find other nodes.

use indexmap::IndexMap;
use rand::{Rng, RngExt, seq::IteratorRandom as _};

use super::{IntroducedNode, IntroductionRow, introduction_row::PREFIX};
use crate::{
    id::NodeId,
    name::ServiceName,
    table::{TableReply, TableRequest},
};

/// Number of rows per page, the maximum that a platform's table service returns in one reply. Every read has a cost,
/// whatever its result; one page that shows members of every service saves a read for each service.
const PAGE_ROWS: usize = 500;
/// Maximum number of nodes, over all services, that a new node queries at the same time. Each reply brings a record and
/// recent updates.
const MAX_QUERIED_NODES: usize = 48;
/// Minimum number of nodes of each service that a new node queries, if that many are found; takes precedence over
/// [`MAX_QUERIED_NODES`].
const MIN_QUERIED_PER_SERVICE: usize = 3;
/// Characters with which names of services may begin.
const FIRST_CHARACTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";

/// Repeated scan of the rows, page by page; continues with the first page after the last one.
#[derive(Clone, Debug)]
pub struct IntroductionScan {
    /// Common prefix of the keys that are read.
    prefix: String,
    /// Key after which the next page starts; empty for the first page.
    after: String,
    /// Random key after which the scan continues if the first page does not hold all rows, so that the new nodes of a
    /// large deployment need not read all rows and do not all read the same ones.
    random_start: Option<String>,
}

impl IntroductionScan {
    /// Creates a scan of all rows. The first page holds all rows of a small deployment; in a larger one the scan
    /// continues after a random key.
    pub fn new(rng: &mut impl Rng) -> Self {
        let first = FIRST_CHARACTERS[rng.random_range(0..FIRST_CHARACTERS.len())];
        let random_start = Some(format!("{PREFIX}{}", char::from(first)));
        Self { prefix: PREFIX.to_owned(), after: String::new(), random_start }
    }

    /// Creates a scan of the rows of one service.
    pub fn of_service(service: &ServiceName) -> Self {
        Self { prefix: format!("{PREFIX}{service}/"), after: String::new(), random_start: None }
    }

    /// Returns the request for the next page.
    pub fn request(&self) -> TableRequest {
        let after = self.after.clone();
        TableRequest::Scan { prefix: self.prefix.clone(), after, limit: PAGE_ROWS }
    }

    /// Advances the scan by a page and returns the nodes on that page. A reply other than rows leaves the scan at its
    /// position. The last page is followed by the first one.
    pub fn handle_reply(&mut self, reply: &TableReply) -> Vec<IntroducedNode> {
        let TableReply::Rows(rows) = reply else { return Vec::new() };
        self.after = match rows.last() {
            Some(last) if rows.len() >= PAGE_ROWS => {
                self.random_start.take().unwrap_or_else(|| last.key.as_str().to_owned())
            }
            _ => String::new(),
        };
        rows.iter().filter_map(|row| IntroductionRow::parse_key(&row.key)).collect()
    }

    /// Returns the nodes of `found` to query, grouped by service: a random sample of each service. A service with few
    /// nodes is included whole, because other nodes are unlikely to pass on its members soon.
    pub fn sample_by_service(rng: &mut impl Rng, found: &[IntroducedNode]) -> Vec<Vec<NodeId>> {
        let mut services = IndexMap::<&ServiceName, Vec<NodeId>>::new();
        for introduced in found {
            services.entry(&introduced.service).or_default().push(introduced.node);
        }
        let most = (MAX_QUERIED_NODES / services.len().max(1)).max(MIN_QUERIED_PER_SERVICE);
        services.into_values().map(|nodes| nodes.into_iter().sample(&mut *rng, most)).collect()
    }

    /// Whether the next page is the first one.
    pub fn is_at_start(&self) -> bool {
        self.after.is_empty()
    }
}
