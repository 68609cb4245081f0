//! Number of cases and seeds of the fuzz tests.

use proptest::{prelude::ProptestConfig, test_runner::RngSeed};

/// Returns a configuration with `cases` cases from `seed`, equal in every run. `scripts/fuzz` overrides
/// both by `COLTSFOOT_FUZZ_CASES` and `COLTSFOOT_FUZZ_SEED`.
pub fn fuzz_config(cases: u32, seed: u64) -> ProptestConfig {
    let asked_cases = number("COLTSFOOT_FUZZ_CASES");
    ProptestConfig {
        cases: asked_cases.map_or(cases, |asked| u32::try_from(asked).unwrap_or(u32::MAX)),
        rng_seed: RngSeed::Fixed(number("COLTSFOOT_FUZZ_SEED").unwrap_or(seed)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// Reads a number from the environment; `None` if the variable is not set. Panics on any other text, which would
/// otherwise be mistaken for a run over new seeds.
fn number(name: &str) -> Option<u64> {
    let text = std::env::var(name).ok()?;
    Some(text.parse().unwrap_or_else(|_| panic!("{name}={text}: expected a number")))
}
