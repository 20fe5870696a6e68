//! Parses configuration files and collects a diagnostic with file, line and field for every error.

use std::path::Path;

use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::config::draft::{Draft, Location, field_offset};
use crate::config::{self, check};
use crate::error;

pub use crate::config::draft::{Diagnostic, Source};

/// Result of parsing: a configuration, or the diagnostics of every error.
pub type Result<T> = std::result::Result<T, Vec<Diagnostic>>;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    generation: Option<toml::Spanned<u64>>,
    weights: Option<toml::Spanned<toml::Table>>,
    #[serde(default)]
    account: Vec<toml::Spanned<toml::Table>>,
    #[serde(default)]
    service: Vec<toml::Spanned<toml::Table>>,
    #[serde(default)]
    rack: Vec<toml::Spanned<toml::Table>>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Weights {
    completion: u32,
    fragmentation: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Shape {
    count: u32,
    #[serde(default = "one")]
    workers: u32,
    accelerators: u32,
    cpus: u32,
    memory_gb: u32,
    #[serde(default)]
    within: config::Within,
    region: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Account {
    name: String,
    token_sha256: String,
    #[serde(default = "one")]
    weight: u32,
    #[serde(default = "default_queue")]
    queue: u32,
    #[serde(default = "default_rate")]
    rate_per_s: u32,
    #[serde(default)]
    shape: Vec<Shape>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Objective {
    completion_s: u32,
    ratio: f64,
    window_days: u32,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Service {
    name: String,
    #[serde(default = "one")]
    tasks: u32,
    accelerators: u32,
    cpus: u32,
    memory_gb: u32,
    #[serde(default)]
    within: config::Within,
    declared_s: u32,
    #[serde(default = "default_deadline")]
    deadline_s: u32,
    #[serde(default)]
    urgent: bool,
    #[serde(default)]
    accounts: Vec<String>,
    objective: Option<Objective>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Rack {
    name: String,
    region: String,
    domain: String,
    workers: u32,
    accelerators: u32,
    cpus: u32,
    memory_gb: u32,
}

const fn one() -> u32 {
    1
}

const fn default_queue() -> u32 {
    64
}

const fn default_rate() -> u32 {
    100
}

const fn default_deadline() -> u32 {
    86_400
}

/// Reads a file, or every `.toml` file of a folder in order of name.
///
/// # Errors
/// `InvalidConfiguration` with the path that cannot be read.
pub fn read(path: &Path) -> config::Result<Vec<Source>> {
    let to_error = |path: &Path, err: std::io::Error| {
        let detail = format!("cannot read {}: {err}", path.display());
        error::Error::new(error::Kind::InvalidConfiguration, detail)
    };
    let mut paths = vec![path.to_path_buf()];
    if path.is_dir() {
        paths = std::fs::read_dir(path)
            .map_err(|err| to_error(path, err))?
            .filter_map(|entry| entry.ok().map(|entry| entry.path()))
            .filter(|path| {
                path.extension()
                    .is_some_and(|extension| extension == "toml")
            })
            .collect();
        paths.sort();
    }
    let mut sources = Vec::new();
    for path in &paths {
        let text = std::fs::read_to_string(path).map_err(|err| to_error(path, err))?;
        sources.push(Source {
            name: path.display().to_string(),
            text,
        });
    }
    Ok(sources)
}

/// Parses and checks files as one configuration.
///
/// # Errors
/// Every diagnostic, in order of file and line.
pub fn parse(sources: Vec<Source>) -> Result<config::Config> {
    let mut draft = Draft {
        sources,
        ..Draft::default()
    };
    draft.load();
    check::check(&mut draft);
    if draft.diagnostics.is_empty() {
        return Ok(draft.config);
    }
    draft.diagnostics.sort();
    draft.diagnostics.dedup();
    Err(draft.diagnostics)
}

/// Combines diagnostics into one error, one line for each.
pub fn to_error(diagnostics: &[Diagnostic]) -> error::Error {
    let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
    error::Error::new(error::Kind::InvalidConfiguration, lines.join("\n"))
}

impl Draft {
    fn load(&mut self) {
        if self.sources.is_empty() {
            self.diagnostics.push(Diagnostic {
                file: "configuration".to_owned(),
                line: 1,
                field: "file".to_owned(),
                detail: "no .toml file found".to_owned(),
            });
        }
        for source in 0..self.sources.len() {
            match toml::from_str::<File>(&self.sources[source].text) {
                Ok(file) => self.add_file(source, file),
                Err(err) => {
                    let span = err.span().unwrap_or(0..0);
                    self.report_at(source, span.start, "file", err.message());
                }
            }
        }
        if self.config.generation == 0 && self.diagnostics.is_empty() {
            self.report_at(
                0,
                0,
                "generation",
                "missing or zero, expected a number from 1 in one of the files",
            );
        }
    }

    fn add_file(&mut self, source: usize, file: File) {
        if let Some(generation) = file.generation {
            if self.config.generation != 0 {
                let offset = generation.span().start;
                self.report_at(source, offset, "generation", "declared twice");
            }
            self.config.generation = *generation.get_ref();
        }
        if let Some(weights) = file.weights {
            self.set_weights(source, weights);
        }
        for table in file.account {
            self.add_account(source, table);
        }
        for table in file.service {
            self.add_service(source, table);
        }
        for table in file.rack {
            self.add_rack(source, table);
        }
    }

    fn set_weights(&mut self, source: usize, table: toml::Spanned<toml::Table>) {
        let span = table.span();
        self.locations
            .insert(("weights", String::new()), Location { source, span });
        if let Some(weights) = self.deserialize::<Weights>(source, "weights", table) {
            self.config.weights = config::Weights {
                completion: weights.completion,
                fragmentation: weights.fragmentation,
            };
        }
    }

    fn add_account(&mut self, source: usize, table: toml::Spanned<toml::Table>) {
        let span = table.span();
        let Some(item) = self.deserialize::<Account>(source, "account", table) else {
            return;
        };
        let shapes = item.shape.into_iter().map(to_shape).collect();
        let account = config::Account {
            token_sha256: item.token_sha256.to_lowercase(),
            weight: item.weight,
            queue: item.queue,
            rate_per_s: item.rate_per_s,
            shapes,
        };
        if self.declare("account", &item.name, source, span) {
            self.config.accounts.insert(item.name, account);
        }
    }

    fn add_service(&mut self, source: usize, table: toml::Spanned<toml::Table>) {
        let span = table.span();
        let Some(item) = self.deserialize::<Service>(source, "service", table) else {
            return;
        };
        let objective = item.objective.map_or(
            config::Objective {
                completion_s: item.deadline_s,
                ratio_ppm: 990_000,
                window_days: 30,
            },
            |objective| config::Objective {
                completion_s: objective.completion_s,
                ratio_ppm: (objective.ratio * 1_000_000.0) as u32,
                window_days: objective.window_days,
            },
        );
        let service = config::Service {
            tasks: item.tasks,
            each: config::Resources {
                accelerators: item.accelerators,
                cpus: item.cpus,
                memory_gb: item.memory_gb,
            },
            within: item.within,
            declared_s: item.declared_s,
            deadline_s: item.deadline_s,
            urgent: item.urgent,
            accounts: item.accounts,
            objective,
        };
        if self.declare("service", &item.name, source, span) {
            self.config.services.insert(item.name, service);
        }
    }

    fn add_rack(&mut self, source: usize, table: toml::Spanned<toml::Table>) {
        let span = table.span();
        let Some(item) = self.deserialize::<Rack>(source, "rack", table) else {
            return;
        };
        let rack = config::Rack {
            region: item.region,
            domain: item.domain,
            workers: item.workers,
            each: config::Resources {
                accelerators: item.accelerators,
                cpus: item.cpus,
                memory_gb: item.memory_gb,
            },
        };
        if self.declare("rack", &item.name, source, span) {
            self.config.racks.insert(item.name, rack);
        }
    }

    /// Deserializes one table. On an error, adds a diagnostic that names the field.
    fn deserialize<T: DeserializeOwned>(
        &mut self,
        source: usize,
        kind: &'static str,
        table: toml::Spanned<toml::Table>,
    ) -> Option<T> {
        let span = table.span();
        let table = table.into_inner();
        let name = table
            .get("name")
            .and_then(toml::Value::as_str)
            .unwrap_or("?")
            .to_owned();
        match table.clone().try_into::<T>() {
            Ok(item) => Some(item),
            Err(err) => {
                let detail = err.message().to_owned();
                let field = offending_field(&table, &detail);
                let offset = field_offset(&self.sources[source].text, &span, &field);
                self.report_at(source, offset, &format!("{kind}.{name}.{field}"), &detail);
                None
            }
        }
    }
}

fn to_shape(shape: Shape) -> config::Shape {
    config::Shape {
        count: shape.count,
        workers: shape.workers,
        each: config::Resources {
            accelerators: shape.accelerators,
            cpus: shape.cpus,
            memory_gb: shape.memory_gb,
        },
        within: shape.within,
        region: shape.region,
    }
}

/// Returns the field that a deserializer's message is about: the one quoted in backticks, or the
/// first one whose value the message contains.
fn offending_field(table: &toml::Table, detail: &str) -> String {
    if let Some(quoted) = detail.split('`').nth(1) {
        return quoted.to_owned();
    }
    let is_mentioned = |value: &toml::Value| {
        let text = value.to_string();
        detail.contains(text.trim_matches('"'))
    };
    let found = table.iter().find(|(_key, value)| is_mentioned(value));
    found.map_or_else(|| "name".to_owned(), |(key, _value)| key.clone())
}
