//! Runs one script of the review: `review-2 CASE FOLDER`.

mod cases;
mod kit;
mod minion;

use std::path::PathBuf;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_default());
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match kit::Record::create(&folder.join("record.txt")) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("cannot write the record: {err}");
            std::process::exit(2);
        }
    };
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let result = cases::run(&case, &record, trouble);
    let (code, text) = match result {
        Ok(None) => (0, "the rule held".to_owned()),
        Ok(Some(broken)) => (1, format!("the rule was broken: {broken}")),
        Err(err) => (2, format!("the case could not run: {err}")),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
