//! Runs one case: `review-3 CASE FOLDER`, in the repository. Writes `record.txt` in the folder and exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` it does
//! the same without the disruption.

mod cases;
mod http;
mod json;
mod minion;
mod system;

use std::path::Path;
use std::process::exit;

use system::{Record, System};

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_program, case, folder] = &arguments[..] else {
        system::say("usage: review-3 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    record.line(format!(
        "case {case}, {}",
        if trouble {
            "with the disruption"
        } else {
            "without the disruption"
        }
    ));
    let started = System::start(&record);
    let result = started.and_then(|system| {
        let result = cases::run(case, &system, trouble);
        system.record_runs();
        if let Ok(to) = std::env::var("KEEP_LOGS") {
            system.copy_logs(Path::new(&to));
        }
        result
    });
    let (line, code) = match &result {
        Ok(breaks) if breaks.is_empty() => ("the rule held".to_owned(), 0),
        Ok(breaks) => (format!("the rule was broken: {}", breaks.join("; ")), 1),
        Err(broken) => (format!("the case could not run: {broken}"), 2),
    };
    record.line(line.clone());
    record.write(&Path::new(folder).join("record.txt"));
    system::say(&line);
    exit(code);
}
