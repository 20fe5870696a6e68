//! The report as a text table.

use std::fmt::Write;

use serde_json::Value;

use crate::ledger::burn;

/// Renders control's answer as a table, with the jobs that spent each error budget.
pub fn table(answer: &Value) -> String {
    let mut out = String::new();
    let windows: Vec<&str> = burn::WINDOWS.iter().map(|(name, _span)| *name).collect();
    let mut header = format!(
        "{:16} {:20} {:>9} {:>7} {:>6} {:>9}",
        "SERVICE", "ACCOUNT", "OBJECTIVE", "GOOD", "BAD", "BUDGET"
    );
    for window in &windows {
        let _written = write!(header, " {window:>7}");
    }
    let _written = writeln!(out, "{header}  MEAN S");
    for line in answer["lines"].as_array().into_iter().flatten() {
        write_row(&mut out, line, &windows);
    }
    out
}

fn write_row(out: &mut String, line: &Value, windows: &[&str]) {
    let text = |name: &str| line[name].as_str().unwrap_or("?").to_owned();
    let number = |name: &str| line[name].as_f64().unwrap_or(0.0);
    let _written = write!(
        out,
        "{:16} {:20} {:>8.2}% {:>7} {:>6} {:>8.1}%",
        text("service"),
        text("account"),
        number("objective") * 100.0,
        number("good"),
        number("bad"),
        number("budget_left") * 100.0
    );
    for window in windows {
        let _written = write!(
            out,
            " {:>7.2}",
            line["burn"][window].as_f64().unwrap_or(0.0)
        );
    }
    let _written = writeln!(out, "  {:.3}", number("mean_completion_s"));
    for miss in line["misses"].as_array().into_iter().flatten() {
        let _written = writeln!(
            out,
            "    job {} after {:.3} s: {}",
            miss["job"],
            miss["completion_ms"].as_f64().unwrap_or(0.0) / 1_000.0,
            miss["detail"].as_str().unwrap_or_default()
        );
    }
}
