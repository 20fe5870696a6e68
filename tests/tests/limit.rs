//! Tests of rate limits, permits, retry budgets and routing.

use oriolereel::limit;
use oriolereel::route;
use oriolereel::sched::event::{Router, Spec};
use oriolereel::wire::frame;
use oriolereel::{config, dev};

#[test]
fn one_account_cannot_take_all_permits() {
    let permits = limit::Permits::new(8, 2);
    let busy: Vec<_> = (0..5).map(|_| permits.take("busy")).collect();
    assert_eq!(busy.iter().filter(|permit| permit.is_ok()).count(), 2);
    assert_eq!(busy[2].as_ref().err(), Some(&limit::Exhausted::Account));
    drop(
        permits
            .take("other")
            .expect("a permit for the other account"),
    );
    drop(busy);
    drop(
        permits
            .take("busy")
            .expect("permits are returned when dropped"),
    );
}

#[test]
fn rates_and_budgets_refill() {
    let mut rates = limit::RateLimiter::default();
    let taken = (0..10).filter(|_| rates.take("a", 4, 1_000)).count();
    assert_eq!(taken, 4);
    assert!(!rates.take("a", 4, 1_100));
    assert!(rates.take("a", 4, 1_300));
    let mut budget = limit::RetryBudget::new(20, 2);
    assert!(budget.try_retry() && budget.try_retry() && !budget.try_retry());
    (0..5).for_each(|_| budget.record_success());
    assert!(budget.try_retry() && !budget.try_retry());
}

#[test]
fn backoff_stays_between_half_the_base_and_the_cap() {
    for attempt in 0..40 {
        for random in [0, 7, u64::MAX] {
            let pause = limit::backoff_ms(attempt, 20, 400, random);
            assert!((10..=400).contains(&pause), "{attempt}: {pause}");
        }
    }
}

fn node(name: &str, region: &str) -> frame::Node {
    frame::Node {
        name: name.to_owned(),
        role: frame::Role::Agent,
        region: region.to_owned(),
        addr: dev::loopback(1),
        incarnation: 1,
        generation: 1,
    }
}

fn target(ready: bool) -> frame::Target {
    frame::Target {
        name: "t".to_owned(),
        services: vec!["s".to_owned()],
        slots: 2,
        connections: 64,
        ready,
    }
}

fn spec(id: u64) -> Spec {
    Spec {
        id,
        account: "a".to_owned(),
        service: "s".to_owned(),
        region: "east".to_owned(),
        tasks: 1,
        each: config::Resources::default(),
        within: config::Within::Region,
        urgent: false,
        repeatable: true,
        declared_ms: 1,
        submitted_ms: 1,
    }
}

#[test]
fn targets_are_limited_by_slots_skipped_when_unready_and_ejected_up_to_half() {
    let mut table = route::Table::new(1);
    for (name, region) in [("a", "east"), ("b", "east"), ("c", "west")] {
        table.record_report(1_000, &node(name, region), &target(true));
    }
    assert_eq!(
        table.regions(&spec(1)),
        ["east", "west"],
        "the caller's region comes first"
    );
    (1..=4).for_each(|id| table.acquire(&spec(id), "east"));
    assert_eq!(table.regions(&spec(9)), ["west"], "slots are a hard limit");
    table.release(1);
    assert_eq!(table.regions(&spec(9)), ["east", "west"]);
    table.record_report(1_100, &node("a", "east"), &target(false));
    table.record_report(1_100, &node("b", "east"), &target(false));
    assert_eq!(
        table.regions(&spec(9)),
        ["west"],
        "a target that is not ready gets no requests"
    );
    table.tick(4_000);
    assert!(
        table.regions(&spec(9)).is_empty(),
        "a target that stopped announcing itself gets no requests"
    );
    for name in ["a", "b", "c"] {
        table.record_report(4_000, &node(name, "east"), &target(true));
        (0..20).for_each(|_| table.record_outcome(name, false));
    }
    assert!(
        !table.regions(&spec(9)).is_empty(),
        "at most half of the targets are ejected"
    );
}

#[test]
fn the_last_slot_is_reserved_for_other_recent_accounts() {
    let of = |id: u64, account: &str| Spec {
        account: account.to_owned(),
        ..spec(id)
    };
    let mut table = route::Table::new(1);
    table.record_report(1_000, &node("a", "east"), &target(true));
    table.acquire(&of(1, "busy"), "east");
    assert_eq!(
        table.regions(&of(2, "busy")),
        ["east"],
        "the only account may take all slots"
    );
    table.acquire(&of(3, "other"), "east");
    table.release(3);
    assert!(
        table.regions(&of(2, "busy")).is_empty(),
        "another account used the target recently"
    );
    assert_eq!(table.regions(&of(4, "other")), ["east"]);
    table.tick(120_000);
    table.record_report(120_000, &node("a", "east"), &target(true));
    assert_eq!(
        table.regions(&of(2, "busy")),
        ["east"],
        "the other account is no longer recent"
    );
}
