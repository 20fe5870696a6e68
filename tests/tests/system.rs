//! The system as real processes on loopback: killed processes, concurrent changes, shutdowns.

use std::thread;
use std::time::{Duration, Instant};

use oriolereel::console;
use serde_json::json;

use crate::cluster::{self, Cluster, Response};

/// Checks that a response is correct for a request that ran `runs` times.
fn check_response(name: &str, response: &Response, runs: u32) {
    assert!(
        runs <= 1,
        "{name}: a request that is not repeatable ran {runs} times"
    );
    match response.status {
        200 => assert_eq!(runs, 1, "{name}: answered, but it did not run"),
        202 => {}
        _ => {
            assert!(
                ["no", "yes", "unknown"].contains(&&*response.ran),
                "{name}: {response:?} does not say whether the request ran"
            );
            assert!(
                response.ran != "no" || runs == 0,
                "{name}: answered `ran: no`, but it ran"
            );
        }
    }
}

#[test]
fn killing_any_one_process_gives_callers_a_correct_answer() {
    struct Case {
        name: &'static str,
        kill: fn(&mut Cluster),
        /// Whether the request must still be answered, possibly after a resend.
        answered: bool,
    }
    let cases = [
        Case {
            name: "leader",
            kill: |cluster| {
                let leader = cluster.leader();
                cluster.control.get_mut(&leader).expect("a member").kill();
            },
            answered: true,
        },
        Case {
            name: "follower",
            kill: |cluster| {
                let follower = if cluster.leader() == 1 { 2 } else { 1 };
                cluster.control.get_mut(&follower).expect("a member").kill();
            },
            answered: true,
        },
        Case {
            name: "entry",
            kill: |cluster| cluster.entries[0].0.kill(),
            answered: true,
        },
        Case {
            name: "agent",
            kill: |cluster| cluster.agent.kill(),
            answered: false,
        },
    ];
    for case in cases {
        let mut cluster = Cluster::start();
        let (first, second) = (cluster.entries[0].1, cluster.entries[1].1);
        let body = json!({ "case": case.name, "standin": { "work_ms": 1500 } });
        let sent_body = body.clone();
        let caller = thread::spawn(move || cluster::submit(first, "k", &sent_body, true, 15));
        thread::sleep(Duration::from_millis(500));
        (case.kill)(&mut cluster);
        let response = caller.join().expect("a thread that did not panic");
        let runs = cluster.target.runs(&body.to_string());
        if let Some(response) = &response {
            check_response(case.name, response, runs);
        } else {
            assert_eq!(
                case.name, "entry",
                "only a killed entry may break the connection"
            );
        }
        let again =
            cluster::submit(second, "k", &body, true, 30).expect("a response from the other entry");
        let runs = cluster.target.runs(&body.to_string());
        check_response(case.name, &again, runs);
        if case.answered {
            assert_eq!(again.status, 200, "{}: {again:?}", case.name);
        }
    }
}

#[test]
fn a_restarted_agent_refuses_earlier_grants() {
    let mut cluster = Cluster::start();
    let entry = cluster.entries[0].1;
    let body = json!({ "standin": { "work_ms": 3000 } });
    let sent_body = body.clone();
    let caller = thread::spawn(move || cluster::submit(entry, "k", &sent_body, true, 19));
    thread::sleep(Duration::from_millis(800));
    cluster.agent.kill();
    cluster.restart_agent();
    let response = caller
        .join()
        .expect("a thread that did not panic")
        .expect("an answer");
    assert_eq!(cluster.target.runs(&body.to_string()), 1);
    assert_eq!(response.ran, "unknown", "{response:?}");
    let after = cluster::submit(entry, "after", &json!({ "n": 1 }), true, 19).expect("an answer");
    assert_eq!(after.status, 200, "{after:?}");
}

#[test]
fn no_acknowledged_change_is_lost_when_the_leader_is_killed() {
    let mut cluster = Cluster::start();
    let mut longest = Duration::ZERO;
    for generation in 2..=30 {
        if generation == 12 || generation == 22 {
            let leader = cluster.leader();
            cluster.control.get_mut(&leader).expect("a member").kill();
            if generation == 12 {
                cluster.restart_control(leader);
            }
        }
        let start = Instant::now();
        let answer = cluster
            .apply(generation, generation as u32)
            .expect("accepted");
        longest = longest.max(start.elapsed());
        assert_eq!(answer["generation"], generation);
    }
    println!("longest gap between accepted changes: {longest:?}");
    let leader = cluster.leader();
    let status = cluster
        .console()
        .get("/v1/status")
        .expect("a member answers");
    assert_eq!(status["generation"], 30, "leader {leader}");
    let entry = cluster.entries[1].1;
    let response = cluster::submit(entry, "k", &json!({}), true, 19).expect("an answer");
    assert_eq!(response.status, 200, "{response:?}");
}

#[test]
fn one_of_several_concurrent_changes_wins_and_the_others_get_a_conflict() {
    let cluster = Cluster::start();
    let operators: Vec<_> = (0..6_u32)
        .map(|weight| {
            let console = cluster.console();
            thread::spawn(move || {
                let text = cluster::configuration(2, 10 + weight);
                let body = json!({ "files": [{ "name": "race.toml", "text": text }] });
                (weight, console.post("/v1/config", &body))
            })
        })
        .collect();
    let results: Vec<_> = operators
        .into_iter()
        .map(|operator| operator.join().expect("a thread that did not panic"))
        .collect();
    let accepted: Vec<u32> = results
        .iter()
        .filter(|(_, result)| result.is_ok())
        .map(|(weight, _)| *weight)
        .collect();
    assert_eq!(accepted.len(), 1, "{results:?}");
    for (_weight, result) in results.iter().filter(|(_, result)| result.is_err()) {
        let Err(console::Error::Refused { status, detail }) = result else {
            panic!("{result:?}");
        };
        assert_eq!(*status, 409);
        assert!(detail.contains("was accepted with content"), "{detail}");
    }
    let again = cluster
        .apply(2, 10 + accepted[0])
        .expect("a resend gets the first answer");
    assert_eq!(again["resent"], true);
    let old = cluster
        .apply(1, 77)
        .expect_err("an older generation with other content");
    assert!(old.to_string().contains("409"), "{old}");
}

#[test]
fn a_graceful_shutdown_interrupts_no_request() {
    struct Case {
        name: &'static str,
        stop: fn(&mut Cluster) -> bool,
    }
    let cases = [
        Case {
            name: "entry",
            stop: |cluster| cluster.entries[0].0.terminate(),
        },
        Case {
            name: "agent",
            stop: |cluster| cluster.agent.terminate(),
        },
        Case {
            name: "leader",
            stop: |cluster| {
                let leader = cluster.leader();
                cluster
                    .control
                    .get_mut(&leader)
                    .expect("a member")
                    .terminate()
            },
        },
    ];
    for case in cases {
        let mut cluster = Cluster::start();
        let entry = cluster.entries[0].1;
        let callers: Vec<_> = (0..4)
            .map(|number| {
                thread::spawn(move || {
                    let body = json!({ "n": number, "standin": { "work_ms": 1200 } });
                    cluster::submit(entry, &format!("k{number}"), &body, true, 19)
                })
            })
            .collect();
        thread::sleep(Duration::from_millis(500));
        assert!(
            (case.stop)(&mut cluster),
            "{} did not exit successfully",
            case.name
        );
        for caller in callers {
            let response = caller
                .join()
                .expect("a thread that did not panic")
                .expect("a connection that was not interrupted");
            assert_eq!(response.status, 200, "{}: {response:?}", case.name);
        }
    }
}

#[test]
fn faults_of_targets_and_workers_are_reported_correctly() {
    struct Case {
        name: &'static str,
        standin: serde_json::Value,
        kind: &'static str,
        ran: &'static str,
    }
    let cases = [
        Case {
            name: "truncated answer",
            standin: json!({ "fault": "truncate" }),
            kind: "answer-invalid",
            ran: "yes",
        },
        Case {
            name: "crossed answer",
            standin: json!({ "fault": "cross" }),
            kind: "answer-invalid",
            ran: "yes",
        },
        Case {
            name: "error",
            standin: json!({ "fault": "error" }),
            kind: "target-failed",
            ran: "yes",
        },
        Case {
            name: "silence",
            standin: json!({ "fault": "silence" }),
            kind: "deadline",
            ran: "yes",
        },
    ];
    let cluster = Cluster::start();
    let entry = cluster.entries[0].1;
    let callers: Vec<_> = cases
        .iter()
        .map(|case| {
            let body = json!({ "standin": case.standin });
            let name = case.name.replace(' ', "-");
            thread::spawn(move || cluster::submit(entry, &name, &body, true, 40))
        })
        .collect();
    for (case, caller) in cases.iter().zip(callers) {
        let response = caller
            .join()
            .expect("a thread that did not panic")
            .expect("an answer");
        assert_eq!(response.kind, case.kind, "{}: {response:?}", case.name);
        assert_eq!(response.ran, case.ran, "{}: {response:?}", case.name);
    }
    for worker in &cluster.workers {
        worker.fail_starts(true);
    }
    let body = json!({ "broken": true });
    let response = cluster::submit(entry, "broken", &body, true, 19).expect("an answer");
    assert_ne!(response.status, 200);
    assert_eq!(cluster.target.runs(&body.to_string()), 0);
    check_response("broken workers", &response, 0);
}

#[test]
fn invalid_requests_get_the_expected_status_and_kind() {
    struct Case {
        name: &'static str,
        method: &'static str,
        path: &'static str,
        token: &'static str,
        headers: Vec<(&'static str, String)>,
        body: Vec<u8>,
        status: u16,
        kind: &'static str,
    }
    let post = |name, headers, status, kind| Case {
        name,
        method: "POST",
        path: "/v1/services/render/requests",
        token: cluster::ACME,
        headers,
        body: b"{}".to_vec(),
        status,
        kind,
    };
    let header = |name, value: &str| vec![(name, value.to_owned())];
    let cases = [
        Case {
            token: "wrong",
            ..post("wrong token", Vec::new(), 401, "unauthorized")
        },
        Case {
            token: "",
            ..post("no token", Vec::new(), 401, "unauthorized")
        },
        Case {
            path: "/v1/services/none/requests",
            ..post("unknown service", Vec::new(), 404, "unknown-service")
        },
        Case {
            path: "/v1/nothing",
            ..post("unknown path", Vec::new(), 404, "unknown-path")
        },
        Case {
            method: "PUT",
            ..post("method", Vec::new(), 405, "wrong-method")
        },
        Case {
            body: vec![b'x'; 70_000],
            ..post("large", Vec::new(), 413, "body-too-large")
        },
        post(
            "prefer",
            header("prefer", "wait=soon"),
            400,
            "invalid-header",
        ),
        post(
            "repeatable",
            header("oriolereel-repeatable", "maybe"),
            400,
            "invalid-header",
        ),
        post(
            "deadline",
            header("oriolereel-deadline", "0"),
            400,
            "invalid-header",
        ),
        post(
            "key",
            header("idempotency-key", &"k".repeat(200)),
            400,
            "invalid-header",
        ),
        Case {
            method: "GET",
            path: "/v1/requests/999",
            body: Vec::new(),
            ..post("unknown request", Vec::new(), 404, "unknown-request")
        },
        Case {
            method: "GET",
            path: "/v1/requests/abc",
            body: Vec::new(),
            ..post("not a number", Vec::new(), 404, "unknown-request")
        },
    ];
    let cluster = Cluster::start();
    for case in cases {
        let call = console::Call {
            method: case.method,
            url: format!("http://{}{}", cluster.entries[0].1, case.path),
            token: case.token,
            headers: case.headers,
            body: Some(case.body).filter(|body| !body.is_empty()),
        };
        let answer = console::send(&call, cluster::TIMEOUT).expect("an answer");
        let value: serde_json::Value =
            serde_json::from_slice(&answer.body).expect("a problem document");
        assert_eq!(answer.status, case.status, "{}: {value}", case.name);
        assert_eq!(value["kind"], case.kind, "{}: {value}", case.name);
    }
}

#[test]
fn requests_are_cancelled_read_again_and_never_mixed_up() {
    let cluster = Cluster::start();
    let (first, second) = (cluster.entries[0].1, cluster.entries[1].1);
    let long = json!({ "standin": { "work_ms": 15_000 } });
    let response = cluster::submit(first, "long", &long, true, 0).expect("an answer");
    assert_eq!(response.status, 202, "{response:?}");
    let cancel = console::Call {
        method: "DELETE",
        url: format!("http://{second}/v1/requests/{}", response.request),
        token: cluster::ACME,
        headers: Vec::new(),
        body: None,
    };
    let answer = console::send(&cancel, cluster::TIMEOUT).expect("an answer");
    let value: serde_json::Value = serde_json::from_slice(&answer.body).expect("JSON");
    let ran = value["ran"].as_str().expect("a `ran` field");
    let runs = cluster.target.runs(&long.to_string());
    assert!(
        runs <= 1 && (ran != "no" || runs == 0),
        "{value}, ran {runs} times"
    );
    let reused = cluster::submit(first, "long", &json!({ "other": 1 }), true, 0);
    assert_eq!(reused.expect("an answer").kind, "key-reused");
    let large = json!({ "standin": { "bytes": 1_500_000 } });
    let response = cluster::submit(first, "large", &large, false, 19).expect("an answer");
    assert_eq!((response.status, response.body.len()), (200, 1_500_000));
    let callers: Vec<_> = (0..40)
        .map(|number| {
            let entry = if number % 2 == 0 { first } else { second };
            thread::spawn(move || {
                let body = json!({ "n": number });
                (
                    number,
                    cluster::submit(entry, &format!("c{number}"), &body, false, 19),
                )
            })
        })
        .collect();
    for caller in callers {
        let (number, response) = caller.join().expect("a thread that did not panic");
        let response = response.expect("an answer");
        assert_eq!(response.status, 200, "{number}: {response:?}");
        let value: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
        assert_eq!(
            value["request"],
            response.request.as_str(),
            "another request's answer"
        );
    }
}

/// Waits until a condition holds. Fails after the time limit.
fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < cluster::TIMEOUT, "never: {condition}");
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn a_suspended_leader_neither_blocks_nor_reverts_changes() {
    let mut cluster = Cluster::start();
    let suspended = cluster.leader();
    cluster
        .control
        .get_mut(&suspended)
        .expect("a member")
        .signal("STOP");
    cluster.apply(2, 5).expect("the other members continue");
    let response = cluster::submit(cluster.entries[0].1, "k", &json!({}), true, 19);
    assert_eq!(response.expect("an answer").status, 200);
    cluster
        .control
        .get_mut(&suspended)
        .expect("a member")
        .signal("CONT");
    let (_wire, http) = cluster.control_addrs[&suspended];
    let console = console::Console {
        control: vec![http],
        ..cluster.console()
    };
    // It had generation 1 when it was suspended. It may become leader again once it has caught up.
    wait_until("the resumed member has the change made without it", || {
        let status = console.get("/v1/status").unwrap_or_default();
        status["generation"] == 2 && status["fresh"] == true
    });
    let old = cluster.apply(1, 9).expect_err("an older generation");
    assert!(old.to_string().contains("409"), "{old}");
}

#[test]
fn a_suspended_agent_runs_nothing_a_second_time() {
    let cluster = Cluster::start();
    let entry = cluster.entries[0].1;
    let body = json!({ "standin": { "work_ms": 2500 } });
    let sent_body = body.clone();
    let caller = thread::spawn(move || cluster::submit(entry, "k", &sent_body, true, 40));
    wait_until("the target runs the request", || {
        cluster.target.runs(&body.to_string()) == 1
    });
    cluster.agent.signal("STOP");
    let response = caller
        .join()
        .expect("a thread that did not panic")
        .expect("an answer");
    check_response("suspended agent", &response, 1);
    assert_ne!(response.ran, "no", "{response:?}");
    wait_until("the leases expire", || {
        cluster
            .workers
            .iter()
            .all(|worker| worker.jobs().is_empty())
    });
    cluster.agent.signal("CONT");
    let after = cluster::submit(entry, "after", &json!({ "n": 2 }), true, 19);
    check_response("after the agent resumed", &after.expect("an answer"), 1);
    assert_eq!(cluster.target.runs(&body.to_string()), 1);
}

#[test]
fn an_unavailable_target_gets_no_new_requests() {
    struct Case {
        name: &'static str,
        /// Whether the target is ready, is leaving, and sends announcements.
        announcement: (bool, bool, bool),
    }
    let cases = [
        Case {
            name: "leaving",
            announcement: (true, true, true),
        },
        Case {
            name: "not-ready",
            announcement: (false, false, true),
        },
        Case {
            name: "silent",
            announcement: (true, false, false),
        },
    ];
    let cluster = Cluster::start();
    let entry = cluster.entries[0].1;
    let ready = || {
        let targets = cluster.console().get("/v1/targets").unwrap_or_default();
        targets[0]["ready"] == true
    };
    for case in cases {
        let (is_ready, leaving, announces) = case.announcement;
        cluster
            .target
            .set_announcement(is_ready, leaving, announces);
        wait_until(case.name, || !ready());
        let body = json!({ "case": case.name });
        let response = cluster::submit(entry, case.name, &body, true, 1).expect("an answer");
        assert_eq!(response.status, 202, "{}: {response:?}", case.name);
        assert_eq!(cluster.target.runs(&body.to_string()), 0, "{}", case.name);
        cluster.target.set_announcement(true, false, true);
        wait_until("the target is ready again", ready);
        let response = cluster::submit(entry, case.name, &body, true, 19).expect("an answer");
        assert_eq!(response.status, 200, "{}: {response:?}", case.name);
    }
}
