//! A configuration on its way from files to use: its sources, where each item was declared, and
//! every fault found so far.

use std::collections::BTreeMap;
use std::ops::Range;

use serde::{Deserialize, Serialize};

use crate::config;

/// One file of a configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Source {
    /// Name used in messages.
    pub name: String,
    pub text: String,
}

/// Something wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    pub file: String,
    /// Line from 1 on.
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

/// Where an item was declared, for diagnostics found by later checks.
#[derive(Clone, Debug)]
pub struct Location {
    pub(super) source: usize,
    pub(super) span: Range<usize>,
}

/// A configuration with the locations of its items.
#[derive(Debug, Default)]
pub struct Draft {
    pub config: config::Config,
    pub(super) sources: Vec<Source>,
    pub(super) locations: BTreeMap<(&'static str, String), Location>,
    pub(super) diagnostics: Vec<Diagnostic>,
}

impl Draft {
    /// Records where an item stands; false when its name is taken.
    pub(super) fn declare(
        &mut self,
        kind: &'static str,
        name: &str,
        source: usize,
        span: Range<usize>,
    ) -> bool {
        let at = span.start;
        let location = Location { source, span };
        let taken = self
            .locations
            .insert((kind, name.to_owned()), location)
            .is_some();
        if taken {
            self.report_at(source, at, &format!("{kind}.{name}.name"), "declared twice");
        }
        !taken
    }

    /// Records a fault of a declared item.
    pub(super) fn report(&mut self, kind: &'static str, name: &str, field: &str, detail: &str) {
        let parts = [kind, name, field]
            .into_iter()
            .filter(|part| !part.is_empty());
        let path = parts.collect::<Vec<_>>().join(".");
        let Some(location) = self.locations.get(&(kind, name.to_owned())).cloned() else {
            self.report_at(0, 0, &path, detail);
            return;
        };
        let at = field_offset(&self.sources[location.source].text, &location.span, field);
        self.report_at(location.source, at, &path, detail);
    }

    pub(super) fn report_at(&mut self, source: usize, at: usize, field: &str, detail: &str) {
        let source = &self.sources[source];
        let before = source.text.get(..at).unwrap_or_default();
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

/// Offset of a field's line inside an item, or of the item.
pub(super) fn field_offset(text: &str, span: &Range<usize>, field: &str) -> usize {
    let field = field.split(['.', '[']).next().unwrap_or(field);
    let end = text[span.start..]
        .find("\n[[")
        .map_or(text.len(), |at| span.start + at)
        .max(span.end);
    let body = text.get(span.start..end).unwrap_or_default();
    let mut at = span.start;
    for line in body.split_inclusive('\n') {
        let key = line.split('=').next().unwrap_or_default().trim();
        if key == field {
            return at;
        }
        at += line.len();
    }
    span.start
}
