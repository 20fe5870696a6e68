//! What several tests share.

use proptest::test_runner::{Config, RngSeed};

/// Settings of a property: a fixed seed, few cases in CI, more by `ORIOLEREEL_CASES`.
pub fn proptest(few: u32) -> Config {
    let asked = std::env::var("ORIOLEREEL_CASES")
        .ok()
        .and_then(|text| text.parse().ok());
    let seed = std::env::var("ORIOLEREEL_SEED")
        .ok()
        .and_then(|text| text.parse().ok());
    Config {
        cases: asked.unwrap_or(few),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(seed.unwrap_or(1)),
        ..Config::default()
    }
}
