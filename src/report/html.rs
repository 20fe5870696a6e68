//! The report as one self-contained page.

use serde_json::Value;

/// Renders the page.
pub fn page(answer: &Value) -> String {
    format!("<!doctype html><pre>{answer:#}</pre>")
}
