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
    if draft.faults.is_empty() {
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
            draft.fault("weights", "", field, &format!("{value} is over 100"));
        }
    }
    if fields.iter().all(|(_field, value)| *value == 0) {
        draft.fault(
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
    let mut fault = |field: &str, detail: &str| draft.fault("account", name, field, detail);
    if name.is_empty() {
        fault("name", "must not be empty");
    }
    let digits = account
        .token_sha256
        .bytes()
        .all(|byte| byte.is_ascii_hexdigit());
    if account.token_sha256.len() != TOKEN_DIGITS || !digits {
        fault(
            "token_sha256",
            "must be 64 hexadecimal digits: the SHA-256 of the account's token",
        );
    }
    let twin = config
        .accounts
        .iter()
        .find(|(other, twin)| *other != name && twin.token_sha256 == account.token_sha256);
    if let Some((other, _twin)) = twin {
        fault("token_sha256", &format!("is also that of account {other}"));
    }
    within(&mut fault, "weight", account.weight, 1, 1_000);
    within(&mut fault, "queue", account.queue, 1, MAX_QUEUE);
    within(&mut fault, "rate_per_s", account.rate_per_s, 1, 100_000);
    for (at, shape) in account.shapes.iter().enumerate() {
        let field = |field: &str| format!("shape[{at}].{field}");
        within(&mut fault, &field("count"), shape.count, 1, 10_000);
        within(&mut fault, &field("workers"), shape.workers, 1, MAX_TASKS);
        if shape.each.is_zero() {
            fault(&field("accelerators"), "the shape guarantees nothing");
        }
        if shape.within == config::Within::Worker && shape.workers > 1 {
            fault(&field("workers"), "must be 1 within a worker");
        }
        let known = |region: &String| config.racks.values().any(|rack| rack.region == *region);
        if let Some(region) = shape.region.as_ref().filter(|region| !known(region)) {
            fault(
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
    let mut fault = |field: &str, detail: &str| draft.fault("service", name, field, detail);
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if name.is_empty() || !name.bytes().all(plain) {
        fault(
            "name",
            "must be letters, digits, - and _, as it stands in paths",
        );
    }
    within(&mut fault, "tasks", service.tasks, 1, MAX_TASKS);
    within(&mut fault, "declared_s", service.declared_s, 1, 30 * 86_400);
    within(&mut fault, "deadline_s", service.deadline_s, 1, 30 * 86_400);
    within(
        &mut fault,
        "objective",
        service.objective.completion_s,
        1,
        30 * 86_400,
    );
    within(
        &mut fault,
        "objective",
        service.objective.window_days,
        1,
        90,
    );
    if !(1..1_000_000).contains(&service.objective.ratio_ppm) {
        fault("objective", "ratio must lie between 0 and 1, both excluded");
    }
    if service.each.is_zero() {
        fault("accelerators", "a task needs some resource");
    }
    for account in &service.accounts {
        if !config.accounts.contains_key(account) {
            fault("accounts", &format!("account {account} is not declared"));
        }
    }
}

fn check_rack(draft: &mut draft::Draft, name: &str, rack: &config::Rack) {
    let mut fault = |field: &str, detail: &str| draft.fault("rack", name, field, detail);
    within(&mut fault, "workers", rack.workers, 1, 1_000);
    if rack.region.is_empty() {
        fault("region", "must not be empty");
    }
    if rack.domain.is_empty() {
        fault("domain", "must not be empty");
    }
    if rack.each.cpus == 0 {
        fault("cpus", "must be at least 1");
    }
}

fn within(fault: &mut impl FnMut(&str, &str), field: &str, value: u32, low: u32, high: u32) {
    if !(low..=high).contains(&value) {
        fault(field, &format!("{value} is not between {low} and {high}"));
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
        draft.fault("account", &account, &format!("shape[{at}]"), &detail);
    }
}
