//! RateLimiter, places, retry budgets, routing.

use oriolereel::limit;
use oriolereel::route;
use oriolereel::sched::event::{Router, Spec};
use oriolereel::wire::frame;
use oriolereel::{config, dev};

#[test]
fn one_accounts_flood_leaves_places_for_the_others() {
    let places = limit::Places::new(8, 2);
    let flood: Vec<_> = (0..5).map(|_| places.take("flood")).collect();
    assert_eq!(flood.iter().filter(|place| place.is_ok()).count(), 2);
    assert_eq!(flood[2].as_ref().err(), Some(&limit::Full::Account));
    drop(places.take("quiet").expect("a place for the other account"));
    drop(flood);
    drop(places.take("flood").expect("places are given back"));
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
fn backoff_grows_to_its_cap_and_varies() {
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
fn targets_are_limited_left_and_ejected_with_a_floor() {
    let mut table = route::Table::new(1);
    for (name, region) in [("a", "east"), ("b", "east"), ("c", "west")] {
        table.record_report(1_000, &node(name, region), &target(true));
    }
    assert_eq!(
        table.regions(&spec(1)),
        ["east", "west"],
        "the caller's region goes first"
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
        "a target that is not ready gets nothing"
    );
    table.tick(4_000);
    assert!(
        table.regions(&spec(9)).is_empty(),
        "nor does one that is no longer heard"
    );
    for name in ["a", "b", "c"] {
        table.record_report(4_000, &node(name, "east"), &target(true));
        (0..20).for_each(|_| table.record_outcome(name, false));
    }
    assert!(
        !table.regions(&spec(9)).is_empty(),
        "half of the targets are never ejected"
    );
}

#[test]
fn an_account_that_has_all_slots_but_one_leaves_the_last_to_others() {
    let of = |id: u64, account: &str| Spec {
        account: account.to_owned(),
        ..spec(id)
    };
    let mut table = route::Table::new(1);
    table.record_report(1_000, &node("a", "east"), &target(true));
    table.acquire(&of(1, "flood"), "east");
    assert_eq!(
        table.regions(&of(2, "flood")),
        ["east"],
        "alone it may have all"
    );
    table.acquire(&of(3, "quiet"), "east");
    table.release(3);
    assert!(
        table.regions(&of(2, "flood")).is_empty(),
        "another account was here of late"
    );
    assert_eq!(table.regions(&of(4, "quiet")), ["east"]);
    table.tick(120_000);
    table.record_report(120_000, &node("a", "east"), &target(true));
    assert_eq!(table.regions(&of(2, "flood")), ["east"], "it has left");
}
