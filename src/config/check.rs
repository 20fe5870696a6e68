//! Checks what a configuration means, once its files could be read.

use crate::config;
use crate::config::draft;
use crate::sched::bind;

/// Most tasks of a gang.
pub const MAX_TASKS: u32 = 256;

/// Most waiting jobs of an account.
const MAX_QUEUE: u32 = 10_000;

/// Digits of a SHA-256 in hexadecimal.
const TOKEN_DIGITS: usize = 64;

/// Adds every fault to the draft.
pub fn check(draft: &mut draft::Draft) {
    let config = draft.config.clone();
    weights(draft, &config);
    for (name, account) in &config.accounts {
        check_account(draft, &config, name, account);
    }
    for (name, service) in &config.services {
        check_service(draft, &config, name, service);
    }
    for (name, rack) in &config.racks {
        check_rack(draft, name, rack);
    }
    if draft.diagnostics.is_empty() {
        feasibility(draft, &config);
    }
}

fn weights(draft: &mut draft::Draft, config: &config::Config) {
    let fields = [
        ("completion", config.weights.completion),
        ("fragmentation", config.weights.fragmentation),
    ];
    for (field, value) in fields {
        if value > 100 {
            draft.report("weights", "", field, &format!("{value} is over 100"));
        }
    }
    if fields.iter().all(|(_field, value)| *value == 0) {
        draft.report(
            "weights",
            "",
            "completion",
            "one of the weights must be above 0",
        );
    }
}

fn check_account(
    draft: &mut draft::Draft,
    config: &config::Config,
    name: &str,
    account: &config::Account,
) {
    let mut report = |field: &str, detail: &str| draft.report("account", name, field, detail);
    if name.is_empty() {
        report("name", "must not be empty");
    }
    let digits = account
        .token_sha256
        .bytes()
        .all(|byte| byte.is_ascii_hexdigit());
    if account.token_sha256.len() != TOKEN_DIGITS || !digits {
        report(
            "token_sha256",
            "must be 64 hexadecimal digits: the SHA-256 of the account's token",
        );
    }
    let twin = config
        .accounts
        .iter()
        .find(|(other, twin)| *other != name && twin.token_sha256 == account.token_sha256);
    if let Some((other, _twin)) = twin {
        report("token_sha256", &format!("is also that of account {other}"));
    }
    within(&mut report, "weight", account.weight, 1, 1_000);
    within(&mut report, "queue", account.queue, 1, MAX_QUEUE);
    within(&mut report, "rate_per_s", account.rate_per_s, 1, 100_000);
    for (at, shape) in account.shapes.iter().enumerate() {
        let field = |field: &str| format!("shape[{at}].{field}");
        within(&mut report, &field("count"), shape.count, 1, 10_000);
        within(&mut report, &field("workers"), shape.workers, 1, MAX_TASKS);
        if shape.each.is_zero() {
            report(&field("accelerators"), "the shape guarantees nothing");
        }
        if shape.within == config::Within::Worker && shape.workers > 1 {
            report(&field("workers"), "must be 1 within a worker");
        }
        let known = |region: &String| config.racks.values().any(|rack| rack.region == *region);
        if let Some(region) = shape.region.as_ref().filter(|region| !known(region)) {
            report(
                &field("region"),
                &format!("no rack lies in region {region}"),
            );
        }
    }
}

fn check_service(
    draft: &mut draft::Draft,
    config: &config::Config,
    name: &str,
    service: &config::Service,
) {
    let mut report = |field: &str, detail: &str| draft.report("service", name, field, detail);
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if name.is_empty() || !name.bytes().all(plain) {
        report(
            "name",
            "must be letters, digits, - and _, as it stands in paths",
        );
    }
    within(&mut report, "tasks", service.tasks, 1, MAX_TASKS);
    within(
        &mut report,
        "declared_s",
        service.declared_s,
        1,
        30 * 86_400,
    );
    within(
        &mut report,
        "deadline_s",
        service.deadline_s,
        1,
        30 * 86_400,
    );
    within(
        &mut report,
        "objective",
        service.objective.completion_s,
        1,
        30 * 86_400,
    );
    within(
        &mut report,
        "objective",
        service.objective.window_days,
        1,
        90,
    );
    if !(1..1_000_000).contains(&service.objective.ratio_ppm) {
        report("objective", "ratio must lie between 0 and 1, both excluded");
    }
    if service.each.is_zero() {
        report("accelerators", "a task needs some resource");
    }
    for account in &service.accounts {
        if !config.accounts.contains_key(account) {
            report("accounts", &format!("account {account} is not declared"));
        }
    }
}

fn check_rack(draft: &mut draft::Draft, name: &str, rack: &config::Rack) {
    let mut report = |field: &str, detail: &str| draft.report("rack", name, field, detail);
    within(&mut report, "workers", rack.workers, 1, 1_000);
    if rack.region.is_empty() {
        report("region", "must not be empty");
    }
    if rack.domain.is_empty() {
        report("domain", "must not be empty");
    }
    if rack.each.cpus == 0 {
        report("cpus", "must be at least 1");
    }
}

fn within(report: &mut impl FnMut(&str, &str), field: &str, value: u32, low: u32, high: u32) {
    if !(low..=high).contains(&value) {
        report(field, &format!("{value} is not between {low} and {high}"));
    }
}

/// Checks that the declared racks can hold all guaranteed shapes at the same time.
fn feasibility(draft: &mut draft::Draft, config: &config::Config) {
    let mut workers = Vec::new();
    for (name, rack) in &config.racks {
        for _worker in 0..rack.workers {
            workers.push(bind::Worker {
                region: &rack.region,
                rack: name,
                free: rack.each,
            });
        }
    }
    for (account, at) in bind::unplaceable_shapes(config, &workers) {
        let shape = &config.accounts[&account].shapes[at];
        let total = shape.each.scaled(shape.workers * shape.count);
        let detail = format!(
            "the declared racks cannot hold this guarantee ({} x {} workers x {} accelerators, \
             {} in all) together with the others",
            shape.count, shape.workers, shape.each.accelerators, total.accelerators
        );
        draft.report("account", &account, &format!("shape[{at}]"), &detail);
    }
}
