//! The table of error kinds.

use oriolereel::error::{self, Kind, Ran};

#[test]
fn each_kind_has_one_row_and_one_name() {
    for row in error::TABLE {
        let same_name = error::TABLE
            .iter()
            .filter(|other| other.name == row.name)
            .count();
        assert_eq!(same_name, 1, "name {} is used twice", row.name);
        assert_eq!(row.kind.row().name, row.name, "{:?} has two rows", row.kind);
    }
}

#[test]
fn kinds_state_what_ran_only_when_it_is_certain() {
    struct Case {
        kind: Kind,
        ran: Ran,
    }
    let cases = [
        Case {
            kind: Kind::QueueFull,
            ran: Ran::No,
        },
        Case {
            kind: Kind::NeverFits,
            ran: Ran::No,
        },
        Case {
            kind: Kind::NoQuorum,
            ran: Ran::Unknown,
        },
        Case {
            kind: Kind::Deadline,
            ran: Ran::Unknown,
        },
        Case {
            kind: Kind::AnswerLost,
            ran: Ran::Unknown,
        },
        Case {
            kind: Kind::TargetFailed,
            ran: Ran::Yes,
        },
    ];
    for case in cases {
        assert_eq!(case.kind.row().ran, case.ran, "{:?}", case.kind);
    }
}
