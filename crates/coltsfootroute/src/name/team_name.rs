//! Name of a team.

name_type! {
    /// A team whose callers share keys, importance and a rate limit; unique within a schema.
    TeamName
}
