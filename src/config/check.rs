//! Checks the values of a configuration whose files were parsed.

use crate::config;
use crate::config::draft;
use crate::sched::bind;

/// Maximum number of tasks in a gang.
pub const MAX_TASKS: u32 = 256;

/// Maximum value of `queue`, the number of waiting jobs that an account may have.
const MAX_QUEUE_JOBS: u32 = 10_000;

/// Number of hexadecimal digits in a SHA-256.
const SHA256_HEX_DIGITS: usize = 64;

/// Checks all values and adds the diagnostics to the draft.
pub fn check(draft: &mut draft::Draft) {
    let config = draft.config.clone();
    check_weights(draft, &config);
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
        check_feasibility(draft, &config);
    }
}

fn check_weights(draft: &mut draft::Draft, config: &config::Config) {
    let fields = [
        ("completion", config.weights.completion),
        ("fragmentation", config.weights.fragmentation),
    ];
    for (field, value) in fields {
        if value > 100 {
            draft.report(
                "weights",
                "",
                field,
                &format!("{value} is not between 0 and 100"),
            );
        }
    }
    if fields.iter().all(|(_field, value)| *value == 0) {
        draft.report(
            "weights",
            "",
            "completion",
            "both weights are 0, expected at least one above 0",
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
    let is_hex = account
        .token_sha256
        .bytes()
        .all(|byte| byte.is_ascii_hexdigit());
    if account.token_sha256.len() != SHA256_HEX_DIGITS || !is_hex {
        report(
            "token_sha256",
            "must be 64 hexadecimal digits: the SHA-256 of the account's token",
        );
    }
    let duplicate = config
        .accounts
        .iter()
        .find(|(other, declared)| *other != name && declared.token_sha256 == account.token_sha256);
    if let Some((other, _declared)) = duplicate {
        report(
            "token_sha256",
            &format!("account {other} has the same token, expected a unique one"),
        );
    }
    check_range(&mut report, "weight", account.weight, 1, 1_000);
    check_range(&mut report, "queue", account.queue, 1, MAX_QUEUE_JOBS);
    check_range(&mut report, "rate_per_s", account.rate_per_s, 1, 100_000);
    for (index, shape) in account.shapes.iter().enumerate() {
        let field = |field: &str| format!("shape[{index}].{field}");
        check_range(&mut report, &field("count"), shape.count, 1, 10_000);
        check_range(&mut report, &field("workers"), shape.workers, 1, MAX_TASKS);
        if shape.each.is_zero() {
            report(
                &field("accelerators"),
                "all resources are 0, expected at least one above 0",
            );
        }
        if shape.within == config::Within::Worker && shape.workers > 1 {
            report(
                &field("workers"),
                "must be 1 when the shape is within a worker",
            );
        }
        let has_rack = |region: &String| config.racks.values().any(|rack| rack.region == *region);
        if let Some(region) = shape.region.as_ref().filter(|region| !has_rack(region)) {
            report(
                &field("region"),
                &format!("no rack is declared in region {region}"),
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
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'_';
    if name.is_empty() || !name.bytes().all(is_allowed) {
        report(
            "name",
            "must consist of letters, digits, `-` and `_`, as it is part of request paths",
        );
    }
    check_range(&mut report, "tasks", service.tasks, 1, MAX_TASKS);
    check_range(
        &mut report,
        "declared_s",
        service.declared_s,
        1,
        30 * 86_400,
    );
    check_range(
        &mut report,
        "deadline_s",
        service.deadline_s,
        1,
        30 * 86_400,
    );
    check_range(
        &mut report,
        "objective",
        service.objective.completion_s,
        1,
        30 * 86_400,
    );
    check_range(
        &mut report,
        "objective",
        service.objective.window_days,
        1,
        90,
    );
    if !(1..1_000_000).contains(&service.objective.ratio_ppm) {
        report("objective", "ratio must be above 0 and below 1");
    }
    if service.each.is_zero() {
        report(
            "accelerators",
            "all resources are 0, expected at least one above 0",
        );
    }
    for account in &service.accounts {
        if !config.accounts.contains_key(account) {
            report("accounts", &format!("account {account} is not declared"));
        }
    }
}

fn check_rack(draft: &mut draft::Draft, name: &str, rack: &config::Rack) {
    let mut report = |field: &str, detail: &str| draft.report("rack", name, field, detail);
    check_range(&mut report, "workers", rack.workers, 1, 1_000);
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

fn check_range(report: &mut impl FnMut(&str, &str), field: &str, value: u32, low: u32, high: u32) {
    if !(low..=high).contains(&value) {
        report(field, &format!("{value} is not between {low} and {high}"));
    }
}

/// Checks that the declared racks can hold all guaranteed shapes at the same time.
fn check_feasibility(draft: &mut draft::Draft, config: &config::Config) {
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
    for (account, index) in bind::unplaceable_shapes(config, &workers) {
        let shape = &config.accounts[&account].shapes[index];
        let total = shape.each.scaled(shape.workers * shape.count);
        let detail = format!(
            "the declared racks cannot hold this guarantee ({} x {} workers x {} accelerators, \
             {} in total) together with the others",
            shape.count, shape.workers, shape.each.accelerators, total.accelerators
        );
        draft.report("account", &account, &format!("shape[{index}]"), &detail);
    }
}
