//! A configuration while it is parsed and checked: its files, the location of each item, and the
//! diagnostics so far.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::config;

/// One file of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// Name shown in diagnostics.
    pub name: String,
    pub text: String,
}

/// An error in a configuration file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    pub file: String,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the field, such as `account.rossi.weight`.
    pub field: String,
    pub detail: String,
}

impl std::fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{}:{}: {}: {}",
            self.file, self.line, self.field, self.detail
        )
    }
}

/// Where an item was declared, for the diagnostics of later checks.
#[derive(Clone, Debug)]
pub struct Location {
    /// Index into the sources.
    pub(super) source: usize,
    /// Byte range in the source.
    pub(super) span: Range<usize>,
}

/// A configuration with its sources, the locations of its items and the diagnostics.
#[derive(Debug, Default)]
pub struct Draft {
    pub config: config::Config,
    pub(super) sources: Vec<Source>,
    pub(super) locations: BTreeMap<(&'static str, String), Location>,
    pub(super) diagnostics: Vec<Diagnostic>,
}

impl Draft {
    /// Records the location of an item. Returns false if its name is already declared.
    pub(super) fn declare(
        &mut self,
        kind: &'static str,
        name: &str,
        source: usize,
        span: Range<usize>,
    ) -> bool {
        let offset = span.start;
        let location = Location { source, span };
        let is_declared = self
            .locations
            .insert((kind, name.to_owned()), location)
            .is_some();
        if is_declared {
            self.report_at(
                source,
                offset,
                &format!("{kind}.{name}.name"),
                "declared twice",
            );
        }
        !is_declared
    }

    /// Adds a diagnostic about a field of a declared item.
    pub(super) fn report(&mut self, kind: &'static str, name: &str, field: &str, detail: &str) {
        let parts = [kind, name, field]
            .into_iter()
            .filter(|part| !part.is_empty());
        let path = parts.collect::<Vec<_>>().join(".");
        let Some(location) = self.locations.get(&(kind, name.to_owned())).cloned() else {
            self.report_at(0, 0, &path, detail);
            return;
        };
        let offset = field_offset(&self.sources[location.source].text, &location.span, field);
        self.report_at(location.source, offset, &path, detail);
    }

    /// Adds a diagnostic about a byte offset of a source.
    pub(super) fn report_at(&mut self, source: usize, offset: usize, field: &str, detail: &str) {
        let source = &self.sources[source];
        let before = source.text.get(..offset).unwrap_or_default();
        let line = before.bytes().filter(|byte| *byte == b'\n').count() + 1;
        let detail = detail.trim().replace('\n', "; ");
        self.diagnostics.push(Diagnostic {
            file: source.name.clone(),
            line,
            field: field.to_owned(),
            detail,
        });
    }
}

/// Returns the offset of the line that sets a field, or of the item if no line does.
pub(super) fn field_offset(text: &str, span: &Range<usize>, field: &str) -> usize {
    let field = field.split(['.', '[']).next().unwrap_or(field);
    let end = text[span.start..]
        .find("\n[[")
        .map_or(text.len(), |offset| span.start + offset)
        .max(span.end);
    let body = text.get(span.start..end).unwrap_or_default();
    let mut offset = span.start;
    for line in body.split_inclusive('\n') {
        let key = line.split('=').next().unwrap_or_default().trim();
        if key == field {
            return offset;
        }
        offset += line.len();
    }
    span.start
}
