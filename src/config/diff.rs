//! The difference between two configurations.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::config::{Account, Config, Rack, Service, Weights};

/// Added, changed and removed items of one kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Items<T> {
    pub set: BTreeMap<String, T>,
    pub removed: Vec<String>,
}

/// The change from generation `from` to generation `to`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    pub from: u64,
    pub to: u64,
    pub weights: Option<Weights>,
    pub accounts: Items<Account>,
    pub services: Items<Service>,
    pub racks: Items<Rack>,
}

impl<T: Clone + PartialEq> Items<T> {
    fn between(old: &BTreeMap<String, T>, new: &BTreeMap<String, T>) -> Self {
        let changed = new
            .iter()
            .filter(|(name, item)| old.get(*name) != Some(*item));
        let set = changed
            .map(|(name, item)| (name.clone(), item.clone()))
            .collect();
        let removed = old.keys().filter(|name| !new.contains_key(*name));
        Self {
            set,
            removed: removed.cloned().collect(),
        }
    }

    fn apply(&self, to: &mut BTreeMap<String, T>) {
        for name in &self.removed {
            to.remove(name);
        }
        for (name, item) in &self.set {
            to.insert(name.clone(), item.clone());
        }
    }

    fn describe(&self, kind: &str, old: &BTreeMap<String, T>, lines: &mut Vec<String>) {
        for name in &self.removed {
            lines.push(format!("- {kind} {name}"));
        }
        for name in self.set.keys() {
            let sign = if old.contains_key(name) { '~' } else { '+' };
            lines.push(format!("{sign} {kind} {name}"));
        }
    }
}

impl Delta {
    /// Computes the change between two configurations.
    pub fn between(old: &Config, new: &Config) -> Self {
        Self {
            from: old.generation,
            to: new.generation,
            weights: (old.weights != new.weights).then_some(new.weights),
            accounts: Items::between(&old.accounts, &new.accounts),
            services: Items::between(&old.services, &new.services),
            racks: Items::between(&old.racks, &new.racks),
        }
    }

    /// Applies the change to a configuration of generation `from`.
    pub fn apply(&self, config: &mut Config) {
        config.generation = self.to;
        if let Some(weights) = self.weights {
            config.weights = weights;
        }
        self.accounts.apply(&mut config.accounts);
        self.services.apply(&mut config.services);
        self.racks.apply(&mut config.racks);
    }

    /// Describes the change for operators, one line for each item.
    pub fn describe(&self, old: &Config) -> Vec<String> {
        let mut lines = Vec::new();
        if self.weights.is_some() {
            lines.push("~ weights".to_owned());
        }
        self.accounts.describe("account", &old.accounts, &mut lines);
        self.services.describe("service", &old.services, &mut lines);
        self.racks.describe("rack", &old.racks, &mut lines);
        lines
    }
}
