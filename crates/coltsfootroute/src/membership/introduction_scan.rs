//! Reading the rows by which newcomers find other nodes.

use indexmap::IndexMap;
use rand::{Rng, RngExt, seq::IteratorRandom as _};

use super::{IntroducedNode, IntroductionRow, introduction_row::PREFIX};
use crate::{
    id::NodeId,
    name::ServiceName,
    table::{TableReply, TableRequest},
};

/// Rows read at a time: as many as a platform's table service gives in one answer. Each read has its price, whatever it
/// brings, and one that shows members of every service spares one for each.
const PAGE_ROWS: usize = 500;
/// Nodes that a newcomer asks at once, of all services together: each answer brings a record and news.
const MAX_QUERIED_NODES: usize = 48;
/// Nodes of each service that a newcomer asks at least.
const MIN_QUERIED_PER_SERVICE: usize = 3;
/// First characters of services' names.
const FIRST_CHARACTERS: &[u8] = b"abcdefghijklmnopqrstuvwxyz0123456789";

/// Reads the rows page by page, round and round.
#[derive(Clone, Debug)]
pub struct IntroductionScan {
    /// Common start of the keys that are read.
    prefix: String,
    /// Last key read.
    after: String,
    /// Where the scan goes on if the first page does not hold all rows: newcomers of a large deployment neither read all
    /// of it nor all the same part.
    random_start: Option<String>,
}

impl IntroductionScan {
    /// A scan of all rows. The first page holds a small deployment; in a larger one the scan goes on anywhere.
    pub fn new(rng: &mut impl Rng) -> Self {
        let first = FIRST_CHARACTERS[rng.random_range(0..FIRST_CHARACTERS.len())];
        let random_start = Some(format!("{PREFIX}{}", char::from(first)));
        Self { prefix: PREFIX.to_owned(), after: String::new(), random_start }
    }

    /// A scan of the rows of one service.
    pub fn of_service(service: &ServiceName) -> Self {
        Self { prefix: format!("{PREFIX}{service}/"), after: String::new(), random_start: None }
    }

    /// Asks for the next page.
    pub fn request(&self) -> TableRequest {
        let after = self.after.clone();
        TableRequest::Scan { prefix: self.prefix.clone(), after, limit: PAGE_ROWS }
    }

    /// Takes a page and gives the nodes on it; a reply without rows leaves the scan where it is. After
    /// the last page comes the first.
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

    /// Some of `found` to ask, by service: all of a small service, whose members nobody else is likely to tell of soon.
    pub fn sample_by_service(rng: &mut impl Rng, found: &[IntroducedNode]) -> Vec<Vec<NodeId>> {
        let mut services = IndexMap::<&ServiceName, Vec<NodeId>>::new();
        for introduced in found {
            services.entry(&introduced.service).or_default().push(introduced.node);
        }
        let most = (MAX_QUERIED_NODES / services.len().max(1)).max(MIN_QUERIED_PER_SERVICE);
        services.into_values().map(|nodes| nodes.into_iter().sample(&mut *rng, most)).collect()
    }

    /// Whether the next page is the first of all.
    pub fn is_at_start(&self) -> bool {
        self.after.is_empty()
    }
}
