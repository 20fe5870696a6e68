//! Which request is refused when the queue for handler threads is full.

use oriolereel::serve::queue::{Queue, USUAL_REQUESTS};

/// Clients that sent one request after the other on many connections left no place for callers.
#[test]
fn connections_with_many_requests_give_way() {
    struct Case {
        name: &'static str,
        /// Requests in the queue, each with the number of requests of its connection.
        queued: &'static [(&'static str, u32)],
        new: u32,
        refused: Option<&'static str>,
        /// The order in which the others are handled.
        handled: &'static [&'static str],
    }
    const MANY: u32 = 10 * USUAL_REQUESTS;
    let cases = [
        Case {
            name: "room for all",
            queued: &[("a", MANY), ("b", 1)],
            new: 1,
            refused: None,
            handled: &["a", "b", "new"],
        },
        Case {
            name: "usual numbers are alike",
            queued: &[("a", 1), ("b", USUAL_REQUESTS), ("c", 1)],
            new: 1,
            refused: Some("new"),
            handled: &["a", "b", "c"],
        },
        Case {
            name: "the busiest gives way",
            queued: &[("a", MANY), ("b", MANY + 1), ("c", 1)],
            new: 1,
            refused: Some("b"),
            handled: &["a", "c", "new"],
        },
        Case {
            name: "of equally busy ones the latest",
            queued: &[("a", MANY), ("b", MANY), ("c", 1)],
            new: 1,
            refused: Some("b"),
            handled: &["a", "c", "new"],
        },
        Case {
            name: "the new one is the busiest",
            queued: &[("a", MANY), ("b", 1), ("c", 1)],
            new: MANY,
            refused: Some("new"),
            handled: &["a", "b", "c"],
        },
    ];
    for case in cases {
        let mut queue = Queue::new(3);
        for (name, recent) in case.queued {
            assert_eq!(queue.push(*name, *recent), None, "{}", case.name);
        }
        assert_eq!(queue.push("new", case.new), case.refused, "{}", case.name);
        let handled: Vec<&str> = std::iter::from_fn(|| queue.pop()).collect();
        assert_eq!(handled, case.handled, "{}", case.name);
    }
}
