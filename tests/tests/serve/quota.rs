//! Which connection is evicted, and which never is.

use oriolereel::serve::quota::{Expiry, Key, Limits, Quota, Refusal, Timeouts, WRITE_TIMEOUT_MS};

/// Limit of the charges of all connections, in bytes.
const MAX_BYTES: usize = 1_000;

/// Time at which the connections of a case are looked at.
const NOW_MS: u64 = 100_000;

/// What a connection has done up to `NOW_MS`.
#[derive(Clone, Copy)]
enum Past {
    /// Began to send and sent its last byte so long ago, with this many bytes in between.
    Sends(u64, u64, usize),
    /// Has had its last answer so long ago.
    Idle(u64),
    Whole,
    /// Has had an answer to read since then and read the last byte so long ago, with this many in
    /// between.
    Reads(u64, u64, usize),
}

struct Case {
    name: &'static str,
    /// The connections, with their charges.
    connections: &'static [(&'static str, Past, usize)],
    /// Charge that the first connection asks for.
    charge: usize,
    expected: Result<&'static [&'static str], Refusal>,
}

fn open(quota: &mut Quota<&'static str>, name: &'static str, past: Past, bytes: usize) -> Key {
    let begin_ms = match past {
        Past::Sends(begin, _last, _count) => NOW_MS - begin,
        Past::Idle(since) => NOW_MS - since,
        Past::Whole => NOW_MS,
        Past::Reads(begin, _last, _count) => NOW_MS - begin,
    };
    let (key, _evicted) = quota.open(begin_ms, name).expect("room for it");
    quota.received(key, begin_ms, 1);
    quota.charge(key, begin_ms, bytes).expect("room for it");
    match past {
        Past::Sends(_begin, last, count) => quota.received(key, NOW_MS - last, count),
        Past::Idle(_since) => {
            quota.complete(key, begin_ms, bytes).expect("room for it");
            quota.finish(key, begin_ms);
        }
        Past::Whole => drop(quota.complete(key, NOW_MS, bytes).expect("room for it")),
        Past::Reads(_begin, last, count) => {
            quota.complete(key, begin_ms, bytes).expect("room for it");
            assert!(quota.answer(key, begin_ms, bytes).is_empty());
            quota.wrote(key, NOW_MS - last, count);
        }
    }
    key
}

fn cases() -> Vec<Case> {
    use Past::{Idle, Reads, Sends, Whole};
    vec![
        Case {
            name: "a charge that fits evicts nothing",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("slow", Sends(9_000, 9_000, 1), 800),
            ],
            charge: 200,
            expected: Ok(&[]),
        },
        Case {
            name: "a stalled sender goes before idle connections",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("idle", Idle(60_000), 400),
                ("stalled", Sends(700, 600, 300), 400),
            ],
            charge: 300,
            expected: Ok(&["stalled"]),
        },
        Case {
            name: "an idle connection goes before senders, the longest idle first",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("slow", Sends(5_000, 10, 300), 300),
                ("idle", Idle(100), 300),
                ("idle for long", Idle(5_000), 300),
            ],
            charge: 300,
            expected: Ok(&["idle for long"]),
        },
        Case {
            name: "the slowest sender goes first, by its rate",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("long and fast", Sends(8_000, 10, 9_000_000), 300),
                ("slow", Sends(2_000, 10, 300), 300),
                ("faster", Sends(2_000, 10, 600), 300),
            ],
            charge: 300,
            expected: Ok(&["slow"]),
        },
        Case {
            name: "a new caller stays while an older one is slow",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("new", Sends(20, 10, 1), 400),
                ("slow", Sends(2_000, 10, 9_000), 400),
            ],
            charge: 300,
            expected: Ok(&["slow"]),
        },
        Case {
            name: "of new callers the one that was silent for longest goes",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("silent", Sends(300, 290, 9_000), 400),
                ("busy", Sends(400, 10, 1), 400),
            ],
            charge: 300,
            expected: Ok(&["silent"]),
        },
        Case {
            name: "as many go as are needed",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("first", Sends(9_000, 9_000, 1), 300),
                ("second", Sends(8_000, 8_000, 1), 300),
                ("third", Sends(7_000, 7_000, 3_000), 300),
            ],
            charge: 500,
            expected: Ok(&["first", "second"]),
        },
        Case {
            name: "the slowest sender evicts nobody",
            connections: &[
                ("own", Sends(9_000, 10, 1), 100),
                ("new", Sends(20, 10, 1), 900),
            ],
            charge: 200,
            expected: Err(Refusal::Slowest),
        },
        Case {
            name: "a whole request is never evicted",
            connections: &[("own", Sends(0, 0, 9), 100), ("whole", Whole, 900)],
            charge: 200,
            expected: Err(Refusal::Full),
        },
        Case {
            name: "a client that has stopped reading goes before an idle one",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("idle", Idle(60_000), 400),
                ("unread", Reads(700, 600, 300), 400),
            ],
            charge: 300,
            expected: Ok(&["unread"]),
        },
        Case {
            name: "a client that reads its answer goes after all senders",
            connections: &[
                ("own", Whole, 100),
                ("reads", Reads(900, 10, 300), 400),
                ("new", Sends(20, 10, 1), 400),
            ],
            charge: 300,
            expected: Ok(&["new"]),
        },
        Case {
            name: "nothing is evicted in vain",
            connections: &[
                ("own", Sends(0, 0, 9), 100),
                ("whole", Whole, 800),
                ("stalled", Sends(9_000, 9_000, 1), 100),
            ],
            charge: 300,
            expected: Err(Refusal::Full),
        },
        Case {
            name: "a request alone may exceed the limit",
            connections: &[("own", Sends(0, 0, 9), 900)],
            charge: 5_000,
            expected: Ok(&[]),
        },
    ]
}

/// Ordinary callers were cut off, or the process ran out of memory.
#[test]
fn the_slowest_senders_are_evicted() {
    for case in cases() {
        let mut quota = Quota::new(Limits {
            bytes: MAX_BYTES,
            connections: 10,
        });
        let keys: Vec<Key> = case
            .connections
            .iter()
            .map(|(name, past, bytes)| open(&mut quota, name, *past, *bytes))
            .collect();
        let before = quota.bytes();
        let result = quota.charge(keys[0], NOW_MS, case.charge);
        let expected = case.expected.map(<[&str]>::to_vec);
        assert_eq!(result, expected, "{}", case.name);
        if result.is_err() {
            assert_eq!(quota.bytes(), before, "{}", case.name);
        } else if case.connections.len() > 1 {
            assert!(quota.bytes() <= MAX_BYTES, "{}", case.name);
        }
        for key in keys {
            quota.close(key);
        }
        assert_eq!(
            (quota.bytes(), quota.connections()),
            (0, 0),
            "{}",
            case.name
        );
    }
}

/// Connections that are merely held open must not keep callers out, nor cut a request in progress.
#[test]
fn one_connection_is_evicted_for_each_one_over_the_limit() {
    let mut quota = Quota::new(Limits {
        bytes: MAX_BYTES,
        connections: 3,
    });
    open(&mut quota, "whole", Past::Whole, 0);
    open(&mut quota, "held", Past::Sends(5_000, 5_000, 1), 0);
    open(&mut quota, "idle", Past::Idle(1_000), 0);
    for expected in ["held", "idle"] {
        let (key, evicted) = quota.open(NOW_MS, "new").expect("room for it");
        assert_eq!(evicted, Some(expected));
        quota.complete(key, NOW_MS, 0).expect("no charge");
    }
    assert_eq!(quota.open(NOW_MS, "new"), Err(Refusal::Full));
    assert_eq!(quota.connections(), 3);
}

/// Connections whose answers were not read stayed, and callers were not accepted.
#[test]
fn clients_that_do_not_read_their_answers_make_way_for_callers() {
    let mut quota = Quota::new(Limits {
        bytes: MAX_BYTES,
        connections: 3,
    });
    open(&mut quota, "whole", Past::Whole, 0);
    open(&mut quota, "unread", Past::Reads(5_000, 5_000, 1), 0);
    open(&mut quota, "reads", Past::Reads(900, 10, 1), 0);
    for expected in ["unread", "reads"] {
        let (key, evicted) = quota.open(NOW_MS, "new").expect("room for it");
        assert_eq!(evicted, Some(expected));
        quota.complete(key, NOW_MS, 0).expect("no charge");
    }
}

/// Answers were kept in memory whatever their sum was.
#[test]
fn answers_make_room_for_each_other() {
    struct Case {
        name: &'static str,
        others: &'static [(&'static str, Past, usize)],
        expected: &'static [&'static str],
    }
    use Past::{Idle, Reads, Sends, Whole};
    let cases = [
        Case {
            name: "an answer that fits evicts nothing",
            others: &[("unread", Reads(9_000, 9_000, 1), 500)],
            expected: &[],
        },
        Case {
            name: "those that have stalled go first",
            others: &[
                ("large", Reads(10, 10, 1), 300),
                ("unread", Reads(9_000, 9_000, 1), 300),
                ("sends", Sends(900, 10, 1), 200),
            ],
            expected: &["unread"],
        },
        Case {
            name: "then the largest answers, before any sender",
            others: &[
                ("small", Reads(10, 10, 1), 200),
                ("large", Reads(10, 10, 1), 400),
                ("sends", Sends(900, 10, 1), 150),
                ("idle", Idle(9_000), 150),
            ],
            expected: &["large"],
        },
        Case {
            name: "an answer is written though there is no room",
            others: &[("whole", Whole, 700), ("sends", Sends(900, 10, 1), 200)],
            expected: &[],
        },
    ];
    for case in cases {
        let mut quota = Quota::new(Limits {
            bytes: MAX_BYTES,
            connections: 10,
        });
        for (name, past, bytes) in case.others {
            open(&mut quota, name, *past, *bytes);
        }
        let own = open(&mut quota, "own", Whole, 10);
        assert_eq!(
            quota.answer(own, NOW_MS, 500),
            case.expected,
            "{}",
            case.name
        );
    }
}

/// A request that was complete when its connection was to be evicted must either be handled and
/// answered, or not handled at all.
#[test]
fn an_evicted_connection_cannot_complete_its_request() {
    let mut quota = Quota::new(Limits {
        bytes: MAX_BYTES,
        connections: 3,
    });
    let own = open(&mut quota, "own", Past::Sends(0, 0, 1), 100);
    let slow = open(&mut quota, "slow", Past::Sends(5_000, 5_000, 1), 500);
    assert_eq!(quota.charge(own, NOW_MS, 600), Ok(vec!["slow"]));
    assert_eq!(quota.complete(slow, NOW_MS, 500), Err(Refusal::Evicted));
    assert_eq!(quota.complete(own, NOW_MS, 600), Ok(Vec::new()));
    let next = open(&mut quota, "next", Past::Sends(0, 0, 1), 100);
    assert_eq!(quota.complete(next, NOW_MS, 900), Err(Refusal::Full));
    let first = quota.open(NOW_MS, "first").expect("room for it").0;
    assert_eq!(quota.charge(first, NOW_MS, 900), Err(Refusal::Full));
    // The read buffer of a request in progress may grow while there is no room.
    assert_eq!(quota.charge(own, NOW_MS, 1_200), Ok(Vec::new()));
}

/// A caller that waits for its answer was cut off by the idle time-out.
#[test]
fn connections_expire_by_what_they_are_doing() {
    struct Case {
        name: &'static str,
        past: Past,
        in_body: bool,
        expected: Option<Expiry>,
    }
    let case = |name, past, in_body, expected| Case {
        name,
        past,
        in_body,
        expected,
    };
    let cases = [
        case(
            "slow head",
            Past::Sends(3_000, 1, 50),
            false,
            Some(Expiry::Head),
        ),
        case("head in time", Past::Sends(2_999, 1, 50), false, None),
        case("slow body", Past::Sends(60_000, 14_000, 50), true, None),
        case(
            "silent body",
            Past::Sends(60_000, 15_000, 50),
            true,
            Some(Expiry::Idle),
        ),
        case("idle", Past::Idle(15_000), false, Some(Expiry::Idle)),
        case("kept open", Past::Idle(14_999), false, None),
        case("whole", Past::Whole, false, None),
        case("answer", Past::Reads(90_000, 29_999, 1), false, None),
        case(
            "unread answer",
            Past::Reads(90_000, WRITE_TIMEOUT_MS, 1),
            false,
            Some(Expiry::Write),
        ),
    ];
    let timeouts = Timeouts {
        head_ms: 3_000,
        idle_ms: 15_000,
    };
    for case in cases {
        let mut quota = Quota::new(Limits {
            bytes: MAX_BYTES,
            connections: 3,
        });
        let key = open(&mut quota, case.name, case.past, 10);
        if case.in_body {
            quota.end_head(key, NOW_MS);
        }
        let expired = quota.expire(NOW_MS, &timeouts);
        let expected: Vec<_> = case
            .expected
            .map(|expiry| (expiry, case.name))
            .into_iter()
            .collect();
        assert_eq!(expired, expected, "{}", case.name);
    }
}
