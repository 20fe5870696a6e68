//! The declared configuration: client accounts, guaranteed shapes, services, racks.
//!
//! Operators write it as TOML files, which are applied together or not at all. A generation number
//! and a hash of the content identify it.

pub mod check;
pub mod diff;
pub mod draft;
pub mod parse;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::Digest;

use crate::error;

/// Result of reading the files of a configuration.
pub type Result<T> = error::Result<T>;

/// The largest scope that the tasks of a gang may be spread over.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Within {
    /// All tasks on one worker.
    Worker,
    /// All tasks in one rack.
    Rack,
    /// All tasks in one region.
    #[default]
    Region,
}

/// An amount of each resource.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    pub accelerators: u32,
    pub cpus: u32,
    pub memory_gb: u32,
}

/// Gangs of one size that are guaranteed to an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Number of such gangs that must be available at the same time.
    pub count: u32,
    /// Number of workers in one gang.
    pub workers: u32,
    /// Resources on each of these workers.
    pub each: Resources,
    pub within: Within,
    /// Required region; `None` for any.
    pub region: Option<String>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Weight of the account's share of the capacity that no guarantee covers.
    pub weight: u32,
    /// Maximum number of waiting jobs.
    pub queue: u32,
    /// Maximum number of new requests per second.
    pub rate_per_s: u32,
    pub shapes: Vec<Shape>,
}

/// Service-level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Completion time within which a request counts as good.
    pub completion_s: u32,
    /// Required share of good requests, in parts per million.
    pub ratio_ppm: u32,
    /// Days over which the share is computed.
    pub window_days: u32,
}

/// A service. All its requests become jobs with the same resources.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    pub tasks: u32,
    /// Resources of each task.
    pub each: Resources,
    pub within: Within,
    /// Declared run time of a job.
    pub declared_s: u32,
    /// Deadline of a request that sets none.
    pub deadline_s: u32,
    /// Whether its jobs go before other jobs of the same account.
    pub urgent: bool,
    /// Accounts that may use the service; empty for all.
    pub accounts: Vec<String>,
    pub objective: Objective,
}

/// An installed rack, whose workers are all alike.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    pub region: String,
    pub domain: String,
    pub workers: u32,
    /// Resources of each worker.
    pub each: Resources,
}

/// Weights of the scheduling goals, each from 0 to 100.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Weights {
    pub completion: u32,
    pub fragmentation: u32,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            completion: 50,
            fragmentation: 50,
        }
    }
}

/// A whole configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    pub generation: u64,
    pub weights: Weights,
    pub accounts: BTreeMap<String, Account>,
    pub services: BTreeMap<String, Service>,
    pub racks: BTreeMap<String, Rack>,
}

/// SHA-256 of the content of a configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hash(pub [u8; 32]);

impl std::fmt::Display for Hash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", hex(&self.0[..8]))
    }
}

impl Config {
    /// Returns the hash of the content. Layout, order and comments of the files don't affect it.
    pub fn hash(&self) -> Hash {
        let data = bincode::serde::encode_to_vec(self, bincode::config::standard());
        let mut sha = sha2::Sha256::new();
        // Encoding plain data into memory cannot fail.
        sha.update(data.unwrap_or_default());
        Hash(sha.finalize().into())
    }

    /// Returns the account that a bearer token belongs to.
    pub fn account_of(&self, token: &str) -> Option<&str> {
        let token_sha256 = hex(&sha2::Sha256::digest(token.as_bytes()));
        let found = self
            .accounts
            .iter()
            .find(|(_name, account)| account.token_sha256 == token_sha256);
        found.map(|(name, _account)| name.as_str())
    }
}

impl Service {
    /// Reports whether an account may use the service.
    pub fn admits(&self, account: &str) -> bool {
        self.accounts.is_empty() || self.accounts.iter().any(|name| name == account)
    }
}

impl Resources {
    /// Reports whether `need` fits into this amount.
    pub fn fits(&self, need: &Self) -> bool {
        self.accelerators >= need.accelerators
            && self.cpus >= need.cpus
            && self.memory_gb >= need.memory_gb
    }

    /// Returns how often `need` fits into this amount, at most `limit` times.
    pub fn count_fitting(&self, need: &Self, limit: u32) -> u32 {
        let fitting = |have: u32, need: u32| have.checked_div(need).unwrap_or(limit);
        fitting(self.accelerators, need.accelerators)
            .min(fitting(self.cpus, need.cpus))
            .min(fitting(self.memory_gb, need.memory_gb))
            .min(limit)
    }

    /// Returns this amount multiplied by `times`.
    pub fn scaled(&self, times: u32) -> Self {
        Self {
            accelerators: self.accelerators * times,
            cpus: self.cpus * times,
            memory_gb: self.memory_gb * times,
        }
    }

    /// Reports whether the amount of every resource is zero.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Returns this amount minus another, with each resource at least zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cpus: self.cpus.saturating_sub(other.cpus),
            memory_gb: self.memory_gb.saturating_sub(other.memory_gb),
        }
    }

    /// Returns the minimum of each resource.
    pub fn min(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.min(other.accelerators),
            cpus: self.cpus.min(other.cpus),
            memory_gb: self.memory_gb.min(other.memory_gb),
        }
    }
}

impl std::ops::AddAssign for Resources {
    fn add_assign(&mut self, rhs: Self) {
        self.accelerators += rhs.accelerators;
        self.cpus += rhs.cpus;
        self.memory_gb += rhs.memory_gb;
    }
}

impl std::ops::SubAssign for Resources {
    fn sub_assign(&mut self, rhs: Self) {
        self.accelerators -= rhs.accelerators;
        self.cpus -= rhs.cpus;
        self.memory_gb -= rhs.memory_gb;
    }
}

/// Encodes bytes as lower-case hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut out = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _written = write!(out, "{byte:02x}");
    }
    out
}
