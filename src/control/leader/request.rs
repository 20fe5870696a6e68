//! Requests of callers and operators.

use std::sync::Arc;

use crate::config;
use crate::config::diff;
use crate::control::leader::{Fresh, Leader, requirements, view};
use crate::error::{self, Kind};
use crate::ledger::{self, Command, Ledger};
use crate::sched::JobId;
use crate::sched::event::Event;
use crate::wire::call;
use crate::wire::frame::Frame;

/// A configuration that is on its way into the ledger.
#[derive(Debug)]
pub struct Configuring {
    generation: u64,
    hash: config::Hash,
    replies: Vec<call::Reply>,
    /// Configurations that came after it.
    later: Vec<(config::Config, call::Reply)>,
}

impl Configuring {
    /// Everyone who waits.
    pub fn into_replies(self) -> impl Iterator<Item = call::Reply> {
        let later = self.later.into_iter().map(|(_config, reply)| reply);
        self.replies.into_iter().chain(later)
    }
}

impl Leader {
    /// Takes a caller's request.
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
        if let Some((job, digest)) = self.submitted.get(&key).copied() {
            if digest != request.digest {
                reply.fail(key_reused(&request));
                return;
            }
            self.submitters.entry(job).or_default().push((reply, true));
            return;
        }
        match self.admit(ledger, &request) {
            Ok(requirements) => self.take(request, requirements, reply),
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
            let detail = format!("over {} requests a second", account.rate_per_s);
            return Err(error::Error::new(Kind::RateLimited, detail));
        }
        Ok(requirements(service))
    }

    fn take(
        &mut self,
        request: ledger::Request,
        requirements: ledger::Requirements,
        reply: call::Reply,
    ) {
        let job = self.next_job;
        self.next_job += 1;
        let key = (request.account.clone(), request.key.clone());
        self.submitted.insert(key, (job, request.digest));
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
        self.fresh.insert(
            job,
            Fresh {
                request: record.request,
                requirements,
            },
        );
    }

    /// Cancels a job of an account; the caller is answered when it has ended.
    ///
    /// # Errors
    /// `UnknownRequest` when the account has no such job.
    pub fn cancel(&mut self, ledger: &Ledger, account: &str, job: JobId) -> error::Result<()> {
        let found = ledger.job(job).filter(|job| job.request.account == account);
        let found = found.ok_or_else(unknown_request)?;
        if found.outcome().is_none() {
            self.cancelled.insert(job, Kind::Cancelled);
            self.events.push(Event::Cancel {
                job,
                kind: Kind::Cancelled,
            });
        }
        Ok(())
    }

    /// Takes a configuration, or tells what it would change.
    pub fn configure(
        &mut self,
        ledger: &Ledger,
        config: config::Config,
        dry_run: bool,
        reply: call::Reply,
    ) {
        let hash = config.hash();
        if let Some(configuring) = &mut self.configuring {
            if configuring.generation == config.generation && configuring.hash == hash {
                configuring.replies.push(reply);
            } else {
                configuring.later.push((config, reply));
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
        self.configuring = Some(Configuring {
            generation,
            hash,
            replies,
            later: Vec::new(),
        });
    }

    /// Answers operators once their configuration is in the ledger.
    pub(super) fn configured(&mut self, ledger: &Ledger) {
        let Some(configuring) = self.configuring.take() else {
            return;
        };
        let answer = answer_of(ledger, configuring.generation, configuring.hash, false);
        for reply in configuring.replies {
            reply.send(answer.clone());
        }
        for (config, reply) in configuring.later {
            self.configure(ledger, config, false, reply);
        }
    }

    /// Ends jobs whose deadline has passed.
    pub(super) fn pass_deadlines(&mut self, ledger: &Ledger) {
        while let Some((deadline_ms, job)) = self.deadlines.first().copied() {
            if deadline_ms > self.now {
                return;
            }
            self.deadlines.pop_first();
            let open = ledger.job(job).is_some_and(|job| job.outcome().is_none());
            if open && !self.finishing.contains_key(&job) {
                self.cancelled.entry(job).or_insert(Kind::Deadline);
                self.events.push(Event::Cancel {
                    job,
                    kind: Kind::Deadline,
                });
            }
        }
    }
}

/// The answer for a generation that is not a new one.
fn known_generation(ledger: &Ledger, config: &config::Config, hash: config::Hash) -> Option<Frame> {
    let current = ledger.config().generation;
    if config.generation > current {
        return None;
    }
    let first = ledger
        .revision(config.generation)
        .map(|revision| revision.hash);
    if first == Some(hash) {
        return Some(answer_of(ledger, config.generation, hash, true));
    }
    let (kind, detail) = match first {
        Some(first) => (
            Kind::GenerationConflict,
            format!(
                "generation {} was accepted with content {first}; this content is {hash}",
                config.generation
            ),
        ),
        None => (
            Kind::OldGeneration,
            format!(
                "generation {} is older than {current}, which is in force",
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
            format!("generation {generation} was taken by another configuration"),
        )),
    }
}

fn key_reused(request: &ledger::Request) -> error::Error {
    error::Error::new(
        Kind::KeyReused,
        format!(
            "idempotency key {} was used for another request",
            request.key
        ),
    )
}

/// No such service, or not for this account.
pub fn unknown_service(name: &str) -> error::Error {
    error::Error::new(
        Kind::UnknownService,
        format!("no service {name} for this account"),
    )
}

/// No such request of this account.
pub fn unknown_request() -> error::Error {
    error::Error::new(Kind::UnknownRequest, "this account has no such request")
}
