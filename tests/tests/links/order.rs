//! Which link is evicted, and which never is.

use oriolereel::serve::quota::{Limits, Refusal, STALL_MS};
use oriolereel::wire::links::{Key, Links};

const MAX_BYTES: usize = 1_000;

/// Time at which the links of a case are looked at.
const NOW_MS: u64 = 100_000;

/// What a link does at `NOW_MS`.
#[derive(Clone, Copy)]
enum Past {
    /// Has been open without a handshake for so long.
    Silent(u64),
    /// Has had nothing to do for so long.
    Idle(u64),
    /// Has a call in progress.
    Calls,
    /// Has so many bytes of answers to read, and read the last one so long ago.
    Unread(usize, u64),
    /// As `Unread`, with a call in progress as well.
    CallsUnread(usize, u64),
}

fn open(links: &mut Links<&'static str>, name: &'static str, past: Past) -> Key {
    let since_ms = match past {
        Past::Silent(since) | Past::Idle(since) => since,
        Past::Calls => 0,
        Past::Unread(_bytes, since) | Past::CallsUnread(_bytes, since) => since,
    };
    let begin_ms = NOW_MS - since_ms;
    let (key, _evicted) = links.open(begin_ms, name).expect("room for it");
    if !matches!(past, Past::Silent(_)) {
        links.greet(key, begin_ms);
    }
    if matches!(past, Past::Calls | Past::CallsUnread(..)) {
        links.begin_call(key);
    }
    if let Past::Unread(bytes, _since) | Past::CallsUnread(bytes, _since) = past {
        assert!(links.queue(key, begin_ms, bytes).is_empty());
    }
    key
}

/// Peers that did not read their answers kept others out, and so did those without a handshake.
#[test]
fn a_link_makes_way_for_each_one_over_the_limit() {
    use Past::{Calls, CallsUnread, Idle, Silent, Unread};
    let cases = [
        (
            "calls in progress",
            vec![("a", Calls), ("b", Calls)],
            Err(Refusal::Full),
        ),
        (
            "no handshake",
            vec![("a", Idle(90_000)), ("b", Silent(STALL_MS))],
            Ok(Some("b")),
        ),
        (
            "idle before new",
            vec![("a", Idle(10)), ("b", Silent(0))],
            Ok(Some("a")),
        ),
        (
            "the longest idle",
            vec![("a", Idle(10)), ("b", Idle(20))],
            Ok(Some("b")),
        ),
        (
            "unread before idle",
            vec![("a", Idle(90_000)), ("b", Unread(9, STALL_MS))],
            Ok(Some("b")),
        ),
        (
            "unread, and calls",
            vec![("a", Calls), ("b", CallsUnread(9, STALL_MS))],
            Ok(Some("b")),
        ),
        (
            "the most unread",
            vec![("a", Unread(9, 900)), ("b", Unread(99, 600))],
            Ok(Some("b")),
        ),
        (
            "an answer on its way",
            vec![("a", Calls), ("b", Unread(9, 10))],
            Err(Refusal::Full),
        ),
    ];
    for (name, pasts, expected) in cases {
        let mut links = Links::new(Limits {
            bytes: MAX_BYTES,
            connections: pasts.len(),
        });
        for (link, past) in pasts {
            open(&mut links, link, past);
        }
        let result = links.open(NOW_MS, "new").map(|(_key, evicted)| evicted);
        assert_eq!(result, expected, "{name}");
    }
}

/// Answers that were not read were kept whatever their sum was.
#[test]
fn answers_over_the_limit_close_the_links_that_hold_most() {
    struct Case {
        name: &'static str,
        /// The first link is the one that has an answer of 300 bytes.
        links: Vec<(&'static str, Past)>,
        expected: &'static [&'static str],
    }
    use Past::{Calls, CallsUnread, Unread};
    let cases = [
        Case {
            name: "an answer that fits closes nothing",
            links: vec![("own", Calls), ("a", Unread(700, 90_000))],
            expected: &[],
        },
        Case {
            name: "peers that have stopped reading go first",
            links: vec![
                ("own", Calls),
                ("a", Unread(600, 10)),
                ("b", CallsUnread(300, STALL_MS)),
            ],
            expected: &["b"],
        },
        Case {
            name: "then those with the most answers",
            links: vec![
                ("own", Calls),
                ("a", Unread(200, 10)),
                ("b", Unread(700, 10)),
            ],
            expected: &["b"],
        },
        Case {
            name: "the link itself goes if the others are not enough",
            links: vec![("own", Unread(900, 10)), ("a", Unread(10, 10))],
            expected: &["a", "own"],
        },
    ];
    for case in cases {
        let mut links = Links::new(Limits {
            bytes: MAX_BYTES,
            connections: 10,
        });
        let keys: Vec<Key> = case
            .links
            .iter()
            .map(|(name, past)| open(&mut links, name, *past))
            .collect();
        assert_eq!(
            links.queue(keys[0], NOW_MS, 300),
            case.expected,
            "{}",
            case.name
        );
        assert!(links.unwritten() <= MAX_BYTES, "{}", case.name);
        for key in keys {
            links.close(key);
        }
        assert_eq!(links.unwritten(), 0, "{}", case.name);
    }
}

/// A configuration or snapshot must reach its reader whatever the limit is.
#[test]
fn one_answer_alone_may_exceed_the_limit() {
    let mut links = Links::new(Limits {
        bytes: MAX_BYTES,
        connections: 10,
    });
    let own = open(&mut links, "own", Past::Calls);
    let small = open(&mut links, "small", Past::Unread(10, 10));
    assert_eq!(links.queue(own, NOW_MS, 5_000), ["small"]);
    assert_eq!(links.evicted_bytes(), 10);
    links.written(small, NOW_MS, 10);
    assert_eq!(links.evicted_bytes(), 0);
    assert_eq!(links.unwritten(), 5_000);
    links.written(own, NOW_MS, 5_000);
    assert_eq!(links.unwritten(), 0);
}
