//! Configuration files: every error is reported with file, line and field.

use std::path::Path;

use oriolereel::config::{Config, diff, parse};
use oriolereel::ledger::command::{Batch, Command};
use oriolereel::ledger::{Ledger, query};
use oriolereel::wire::{self, Frame, frame};

const TOKEN: &str = "aa00000000000000000000000000000000000000000000000000000000000000";

fn source(text: &str) -> Vec<parse::Source> {
    vec![parse::Source {
        name: "x.toml".to_owned(),
        text: text.to_owned(),
    }]
}

fn valid() -> String {
    format!(
        "generation = 3\n\n[[account]]\nname = \"a\"\ntoken_sha256 = \"{TOKEN}\"\nweight = 2\n\n\
         [[account.shape]]\ncount = 1\nworkers = 2\naccelerators = 4\ncpus = 1\nmemory_gb = 1\n\
         within = \"rack\"\n\n[[service]]\nname = \"s\"\naccelerators = 1\ncpus = 1\n\
         memory_gb = 1\ndeclared_s = 10\n\n[[rack]]\nname = \"r\"\nregion = \"east\"\n\
         domain = \"d\"\nworkers = 2\naccelerators = 4\ncpus = 8\nmemory_gb = 8\n"
    )
}

#[test]
fn diagnostics_name_file_line_and_field() {
    struct Case {
        name: &'static str,
        from: &'static str,
        to: &'static str,
        diagnostic: &'static str,
    }
    let cases = [
        Case {
            name: "no generation",
            from: "generation = 3",
            to: "",
            diagnostic: "x.toml:1: generation: missing or zero, expected",
        },
        Case {
            name: "weight out of range",
            from: "weight = 2",
            to: "weight = 0",
            diagnostic: "x.toml:6: account.a.weight: 0 is not between 1 and 1000",
        },
        Case {
            name: "unknown field",
            from: "weight = 2",
            to: "wieght = 2",
            diagnostic: "x.toml:6: account.a.wieght: unknown field",
        },
        Case {
            name: "wrong type",
            from: "declared_s = 10",
            to: "declared_s = \"soon\"",
            diagnostic: "service.s.declared_s: invalid type",
        },
        Case {
            name: "missing field",
            from: "domain = \"d\"\n",
            to: "",
            diagnostic: "rack.r.domain: missing field",
        },
        Case {
            name: "bad token",
            from: "aa00",
            to: "zz00",
            diagnostic: "x.toml:5: account.a.token_sha256: must be 64 hexadecimal digits",
        },
        Case {
            name: "guarantees that do not fit into the racks together",
            from: "count = 1",
            to: "count = 2",
            diagnostic: "account.a.shape[0]: the declared racks cannot hold this guarantee",
        },
        Case {
            name: "guarantee in a region without racks",
            from: "within = \"rack\"",
            to: "within = \"rack\"\nregion = \"west\"",
            diagnostic: "account.a.shape[0].region: no rack is declared in region west",
        },
        Case {
            name: "not TOML",
            from: "weight = 2",
            to: "weight 2",
            diagnostic: "x.toml:6: file:",
        },
        Case {
            name: "declared twice",
            from: "[[service]]",
            to: "[[service]]\nname = \"s\"\naccelerators = 1\ncpus = 1\nmemory_gb = 1\n\
                 declared_s = 1\n[[service]]",
            diagnostic: "service.s.name: declared twice",
        },
    ];
    parse::parse(source(&valid())).expect("a valid file");
    for case in cases {
        let text = valid().replacen(case.from, case.to, 1);
        let diagnostics = parse::parse(source(&text)).expect_err(case.name);
        let lines: Vec<String> = diagnostics.iter().map(ToString::to_string).collect();
        assert!(
            lines.iter().any(|line| line.contains(case.diagnostic)),
            "{}: {lines:?}",
            case.name
        );
    }
}

#[test]
fn several_diagnostics_are_reported_together() {
    let text = valid()
        .replace("weight = 2", "weight = 0")
        .replace("declared_s = 10", "declared_s = 0");
    let diagnostics = parse::parse(source(&text)).expect_err("two diagnostics");
    assert_eq!(diagnostics.len(), 2, "{diagnostics:?}");
}

#[test]
fn examples_parse_and_a_delta_turns_one_into_the_other() {
    let read = |name: &str| {
        let path = Path::new(env!("CARGO_MANIFEST_DIR"))
            .join("examples")
            .join(name);
        parse::parse(parse::read(&path).expect("an example")).expect("a valid example")
    };
    let (mut old, mut new) = (read("zucca"), read("consortium"));
    new.generation = 2;
    let delta = diff::Delta::between(&old, &new);
    delta.apply(&mut old);
    assert_eq!(old, new);
    assert_eq!(old.hash(), new.hash());
}

/// Configuration changes, each of so many services.
const CHANGES: u64 = 450;
const CHANGED_SERVICES: u32 = 1_000;

/// Returns a configuration with many services, all of which differ between odd and even generations.
fn large(generation: u64) -> Config {
    let mut text = valid().replace("generation = 3", &format!("generation = {generation}"));
    let declared_s = 10 + generation % 2;
    for number in 0..CHANGED_SERVICES {
        text.push_str(&format!(
            "\n[[service]]\nname = \"service-with-a-long-name-{number}\"\naccelerators = 1\n\
             cpus = 1\nmemory_gb = 1\ndeclared_s = {declared_s}\n"
        ));
    }
    parse::parse(source(&text)).expect("a valid configuration")
}

// Guards against changes that are kept by their number only: the update for a process that was behind
// exceeded the size of a frame, so it never got another configuration.
#[test]
fn a_process_that_has_missed_many_large_changes_gets_an_update_that_fits_a_frame() {
    let configs = [large(2), large(3)];
    let mut ledger = Ledger::default();
    for generation in 1..=CHANGES {
        let old = ledger.config().clone();
        let mut new = configs[(generation % 2) as usize].clone();
        new.generation = generation;
        let delta = diff::Delta::between(&old, &new);
        let command = Command::Configure {
            hash: new.hash(),
            changes: delta.describe(&old),
            delta,
        };
        let batch = Batch {
            at_ms: generation,
            commands: vec![command],
        };
        ledger.apply(generation, batch);
    }
    for behind in [0, 1, CHANGES / 2, CHANGES - 1] {
        let config = ledger.catchup(behind);
        assert!(config.is_some(), "nothing for a process at {behind}");
        let update = frame::Update {
            config,
            index: CHANGES,
            fresh: true,
            grants: Vec::new(),
            has_grants: false,
        };
        if let Err(err) = wire::encode(&Frame::Update(update)) {
            panic!("a process at generation {behind} gets no update: {err}");
        }
    }
    let last = ledger.catchup(CHANGES - 1);
    assert!(matches!(last, Some(query::Catchup::Deltas(_))), "{last:?}");
}
