//! The declared configuration: client accounts, guaranteed shapes, services, racks.
//!
//! Operators write it as TOML files that are applied as a whole. It is identified by a generation
//! number and a hash of its content.

pub mod check;
pub mod diff;
pub mod draft;
pub mod parse;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use sha2::Digest;

use crate::error;

/// Result of reading a configuration.
pub type Result<T> = error::Result<T>;

/// How far apart the members of a gang may be.
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

/// Guaranteed gangs of one form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shape {
    /// Gangs of this form that must be available at the same time.
    pub count: u32,
    /// Workers in one gang.
    pub workers: u32,
    /// Resources on each of these workers.
    pub each: Resources,
    pub within: Within,
    /// Region that it must lie in, or any.
    pub region: Option<String>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// SHA-256 of the bearer token, in hexadecimal.
    pub token_sha256: String,
    /// Weight of the account's share of what is not guaranteed.
    pub weight: u32,
    /// Most jobs that may wait.
    pub queue: u32,
    /// Most new requests a second.
    pub rate_per_s: u32,
    pub shapes: Vec<Shape>,
}

/// Service-level objective of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Objective {
    /// Completion time within which a request counts as good.
    pub completion_s: u32,
    /// Share of good requests, in parts per million.
    pub ratio_ppm: u32,
    /// Days over which the share is reckoned.
    pub window_days: u32,
}

/// A service whose requests become jobs of one form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    pub tasks: u32,
    /// Resources of each task.
    pub each: Resources,
    pub within: Within,
    /// Declared run time.
    pub declared_s: u32,
    /// Deadline of a request that names none.
    pub deadline_s: u32,
    /// Whether its jobs go before the account's others.
    pub urgent: bool,
    /// Accounts that may use it; empty for all.
    pub accounts: Vec<String>,
    pub objective: Objective,
}

/// Racks of one kind that the operators have installed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rack {
    pub region: String,
    pub domain: String,
    pub workers: u32,
    /// Resources of each worker.
    pub each: Resources,
}

/// What decisions weigh, each from 0 to 100.
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

/// SHA-256 of a configuration's content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hash(pub [u8; 32]);

impl std::fmt::Display for Hash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", hex(&self.0[..8]))
    }
}

impl Config {
    /// Hash of the content, which does not depend on layout, order or comments of the files.
    pub fn hash(&self) -> Hash {
        let data = bincode::serde::encode_to_vec(self, bincode::config::standard());
        let mut sha = sha2::Sha256::new();
        // Encoding plain data into memory cannot fail.
        sha.update(data.unwrap_or_default());
        Hash(sha.finalize().into())
    }

    /// Finds the account that a bearer token belongs to.
    pub fn account_of(&self, token: &str) -> Option<&str> {
        let wanted = hex(&sha2::Sha256::digest(token.as_bytes()));
        let found = self
            .accounts
            .iter()
            .find(|(_name, account)| account.token_sha256 == wanted);
        found.map(|(name, _account)| name.as_str())
    }
}

impl Service {
    /// Whether an account may use the service.
    pub fn admits(&self, account: &str) -> bool {
        self.accounts.is_empty() || self.accounts.iter().any(|name| name == account)
    }
}

impl Resources {
    /// Whether an amount fits into this one.
    pub fn fits(&self, need: &Self) -> bool {
        self.accelerators >= need.accelerators
            && self.cpus >= need.cpus
            && self.memory_gb >= need.memory_gb
    }

    /// How many times an amount fits into this one, up to a limit.
    pub fn count_fitting(&self, need: &Self, limit: u32) -> u32 {
        let of = |have: u32, need: u32| have.checked_div(need).unwrap_or(limit);
        of(self.accelerators, need.accelerators)
            .min(of(self.cpus, need.cpus))
            .min(of(self.memory_gb, need.memory_gb))
            .min(limit)
    }

    /// This amount a number of times.
    pub fn scaled(&self, times: u32) -> Self {
        Self {
            accelerators: self.accelerators * times,
            cpus: self.cpus * times,
            memory_gb: self.memory_gb * times,
        }
    }

    /// Whether nothing is left of any resource.
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// What remains after taking an amount, not below zero.
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            cpus: self.cpus.saturating_sub(other.cpus),
            memory_gb: self.memory_gb.saturating_sub(other.memory_gb),
        }
    }

    /// The smaller of each resource.
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

/// Lower-case hexadecimal digits of bytes.
pub fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut out = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        // Writing to a string cannot fail.
        let _written = write!(out, "{byte:02x}");
    }
    out
}
