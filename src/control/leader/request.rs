//! Requests of callers and operators.

use std::sync::Arc;

use crate::config;
use crate::config::diff;
use crate::control::leader::{Leader, Submission, requirements, view};
use crate::error::{self, Kind};
use crate::ledger::{self, Command, Ledger};
use crate::sched::JobId;
use crate::sched::event::Event;
use crate::wire::call;
use crate::wire::frame::Frame;

/// A configuration that has been proposed but is not in the ledger yet.
#[derive(Debug)]
pub struct PendingConfig {
    generation: u64,
    hash: config::Hash,
    replies: Vec<call::Reply>,
    /// Configurations that arrived after it.
    later: Vec<(config::Config, call::Reply)>,
}

impl PendingConfig {
    /// Returns the replies of everyone who waits.
    pub fn into_replies(self) -> impl Iterator<Item = call::Reply> {
        let later = self.later.into_iter().map(|(_config, reply)| reply);
        self.replies.into_iter().chain(later)
    }
}

impl Leader {
    /// Handles a caller's request.
    pub fn submit(&mut self, ledger: &Ledger, request: ledger::Request, reply: call::Reply) {
        if let Some(job) = ledger.by_key(&request.account, &request.key) {
            if job.request.digest != request.digest {
                reply.fail(key_reused(&request));
                return;
            }
            reply.send(Frame::View(view(ledger, job, true)));
            return;
        }
        let key = (request.account.clone(), request.key.clone());
        if let Some((job, digest)) = self.pending_keys.get(&key).copied() {
            if digest != request.digest {
                reply.fail(key_reused(&request));
                return;
            }
            self.submitters.entry(job).or_default().push((reply, true));
            return;
        }
        match self.admit(ledger, &request) {
            Ok(requirements) => self.accept(request, requirements, reply),
            Err(err) => reply.fail(err),
        }
    }

    fn admit(
        &mut self,
        ledger: &Ledger,
        request: &ledger::Request,
    ) -> error::Result<ledger::Requirements> {
        let config = ledger.config();
        let account = config.accounts.get(&request.account).ok_or_else(|| {
            error::Error::new(
                Kind::Unauthorized,
                "the account is not in the configuration",
            )
        })?;
        let service = config.services.get(&request.service);
        let service = service.filter(|service| service.admits(&request.account));
        let service = service.ok_or_else(|| unknown_service(&request.service))?;
        let now = self.now;
        if !self.rates.take(&request.account, account.rate_per_s, now) {
            let detail = format!(
                "the account exceeded its rate limit of {} requests per second",
                account.rate_per_s
            );
            return Err(error::Error::new(Kind::RateLimited, detail));
        }
        Ok(requirements(service))
    }

    fn accept(
        &mut self,
        request: ledger::Request,
        requirements: ledger::Requirements,
        reply: call::Reply,
    ) {
        let job = self.next_job;
        self.next_job += 1;
        let key = (request.account.clone(), request.key.clone());
        self.pending_keys.insert(key, (job, request.digest));
        self.submitters.entry(job).or_default().push((reply, false));
        let record = ledger::Job {
            id: job,
            request,
            requirements,
            submitted_ms: self.now,
            attempts: 0,
            ran: error::Ran::No,
            phase: ledger::Phase::Waiting,
            changed_index: 0,
            notes: Vec::new(),
        };
        self.events.push(Event::Submit(record.spec()));
        self.submissions.insert(
            job,
            Submission {
                request: record.request,
                requirements,
            },
        );
    }

    /// Cancels a job of an account; the caller is answered when the job has ended.
    ///
    /// # Errors
    /// `UnknownRequest` when the account has no such job.
    pub fn cancel(&mut self, ledger: &Ledger, account: &str, job: JobId) -> error::Result<()> {
        let found = ledger.job(job).filter(|job| job.request.account == account);
        let found = found.ok_or_else(unknown_request)?;
        if found.outcome().is_none() {
            self.cancel_reasons.insert(job, Kind::Cancelled);
            self.events.push(Event::Cancel {
                job,
                kind: Kind::Cancelled,
            });
        }
        Ok(())
    }

    /// Proposes a configuration, or with `dry_run` only answers what it would change.
    pub fn configure(
        &mut self,
        ledger: &Ledger,
        config: config::Config,
        dry_run: bool,
        reply: call::Reply,
    ) {
        let hash = config.hash();
        if let Some(pending) = &mut self.pending_config {
            if pending.generation == config.generation && pending.hash == hash {
                pending.replies.push(reply);
            } else {
                pending.later.push((config, reply));
            }
            return;
        }
        if let Some(answer) = known_generation(ledger, &config, hash) {
            reply.send(answer);
            return;
        }
        let delta = diff::Delta::between(ledger.config(), &config);
        let changes = delta.describe(ledger.config());
        let generation = config.generation;
        if dry_run {
            reply.send(Frame::Configured {
                generation,
                hash,
                changes,
                resent: false,
            });
            return;
        }
        self.commands.push(Command::Configure {
            delta,
            hash,
            changes,
        });
        self.events.push(Event::Configure(Arc::new(config)));
        let replies = vec![reply];
        self.pending_config = Some(PendingConfig {
            generation,
            hash,
            replies,
            later: Vec::new(),
        });
    }

    /// Answers operators whose configuration has reached the ledger.
    pub(super) fn answer_configured(&mut self, ledger: &Ledger) {
        let Some(pending) = self.pending_config.take() else {
            return;
        };
        let answer = answer_of(ledger, pending.generation, pending.hash, false);
        for reply in pending.replies {
            reply.send(answer.clone());
        }
        for (config, reply) in pending.later {
            self.configure(ledger, config, false, reply);
        }
    }

    /// Cancels jobs whose deadline has passed.
    pub(super) fn cancel_overdue(&mut self, ledger: &Ledger) {
        while let Some((deadline_ms, job)) = self.deadlines.first().copied() {
            if deadline_ms > self.now {
                return;
            }
            self.deadlines.pop_first();
            let is_open = ledger.job(job).is_some_and(|job| job.outcome().is_none());
            if is_open && !self.pending_finishes.contains_key(&job) {
                self.cancel_reasons.entry(job).or_insert(Kind::Deadline);
                self.events.push(Event::Cancel {
                    job,
                    kind: Kind::Deadline,
                });
            }
        }
    }
}

/// Returns the answer for a generation that is not new.
fn known_generation(ledger: &Ledger, config: &config::Config, hash: config::Hash) -> Option<Frame> {
    let current = ledger.config().generation;
    if config.generation > current {
        return None;
    }
    let accepted = ledger
        .revision(config.generation)
        .map(|revision| revision.hash);
    if accepted == Some(hash) {
        return Some(answer_of(ledger, config.generation, hash, true));
    }
    let (kind, detail) = match accepted {
        Some(accepted) => (
            Kind::GenerationConflict,
            format!(
                "generation {} was accepted with content hash {accepted}, not {hash}",
                config.generation
            ),
        ),
        None => (
            Kind::OldGeneration,
            format!(
                "generation {} is older than generation {current}, which is in force",
                config.generation
            ),
        ),
    };
    Some(Frame::Fault(error::Error::new(kind, detail)))
}

fn answer_of(ledger: &Ledger, generation: u64, hash: config::Hash, resent: bool) -> Frame {
    let accepted = ledger
        .revision(generation)
        .filter(|revision| revision.hash == hash);
    match accepted {
        Some(accepted) => {
            let changes = accepted.changes.clone();
            Frame::Configured {
                generation,
                hash,
                changes,
                resent,
            }
        }
        None => Frame::Fault(error::Error::new(
            Kind::GenerationConflict,
            format!("generation {generation} was used by another configuration"),
        )),
    }
}

fn key_reused(request: &ledger::Request) -> error::Error {
    error::Error::new(
        Kind::KeyReused,
        format!(
            "idempotency key {} was used for a different request",
            request.key
        ),
    )
}

/// Returns the error for a service that does not exist or does not admit the account.
pub fn unknown_service(name: &str) -> error::Error {
    error::Error::new(
        Kind::UnknownService,
        format!("no service {name} for this account"),
    )
}

/// Returns the error for a request that the account does not have.
pub fn unknown_request() -> error::Error {
    error::Error::new(Kind::UnknownRequest, "no such request for this account")
}
