//! The HTTP service for operators of a control member.

use std::time::Duration;

use crate::config;
use crate::config::parse;
use crate::control::{group, leader};
use crate::error;
use crate::raft::members;
use crate::serve;
use crate::wire::frame::{self, Frame};

/// Time limit for answering an operator's call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);

/// Maximum size of a configuration that operators send.
const MAX_CONFIG_BYTES: usize = 8 << 20;

/// Number of hexadecimal digits in the id of a job of several steps; request ids are shorter.
const STEPS_JOB_ID_DIGITS: usize = 16;

/// Serves operators over HTTP.
#[derive(Debug)]
pub(super) struct Admin {
    pub(super) group: group::Group,
    pub(super) token: String,
}

impl serve::Handler for Admin {
    fn max_body_bytes(&self) -> usize {
        MAX_CONFIG_BYTES
    }

    fn handle(&self, request: &serve::Request) -> serve::Response {
        self.answer(request)
            .unwrap_or_else(|err| serve::problem(&err))
    }

    fn readiness(&self) -> std::result::Result<(), String> {
        let status = self.group.call(
            &Frame::Query(frame::Query::Members),
            Duration::ZERO,
            Duration::ZERO,
        );
        status.map(drop).map_err(|err| err.to_string())
    }
}

#[derive(serde::Deserialize)]
struct Files {
    files: Vec<parse::Source>,
}

impl Admin {
    fn answer(&self, request: &serve::Request) -> serve::Result<serve::Response> {
        self.authorize(request)?;
        let path = request.uri().path().to_owned();
        let dry_run = request
            .uri()
            .query()
            .is_some_and(|query| query == "dry_run=true");
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let method = request.method().as_str().to_owned();
        match (method.as_str(), parts.as_slice()) {
            ("POST", ["v1", "config"]) => {
                let files: Files = serve::read_json(request)?;
                self.configure(files.files, dry_run)
            }
            ("POST", ["v1", "members"]) => {
                let change: members::Change = serve::read_json(request)?;
                self.call(&Frame::Change(change))
            }
            ("GET", ["v1", "jobs", id, "decisions"]) => {
                let query = if id.len() == STEPS_JOB_ID_DIGITS {
                    u64::from_str_radix(id, 16).map(frame::Query::ExplainSteps)
                } else {
                    id.parse().map(frame::Query::Explain)
                };
                let query = query.map_err(|_not_a_number| leader::unknown_request())?;
                self.call(&Frame::Query(query))
            }
            ("GET", ["v1", "status"]) => {
                // Each member answers for itself, also one that has no contact with the leader.
                let frame = Frame::Query(frame::Query::Status);
                respond(self.group.call_self(frame, CALL_TIMEOUT)?)
            }
            ("GET", ["v1", name]) => match query(name) {
                Some(query) => self.call(&Frame::Query(query)),
                None => Err(unknown_path(&path)),
            },
            _ => Err(unknown_path(&path)),
        }
    }

    fn authorize(&self, request: &serve::Request) -> serve::Result<()> {
        let given = serve::header(request, "authorization")?;
        let token = given.and_then(|value| value.strip_prefix("Bearer "));
        if token == Some(&self.token) {
            return Ok(());
        }
        Err(error::Error::new(
            error::Kind::Unauthorized,
            "the operator token is missing or invalid",
        ))
    }

    fn configure(
        &self,
        files: Vec<parse::Source>,
        dry_run: bool,
    ) -> serve::Result<serve::Response> {
        let config: config::Config =
            parse::parse(files).map_err(|diagnostics| parse::to_error(&diagnostics))?;
        self.call(&Frame::Configure {
            config: Box::new(config),
            dry_run,
        })
    }

    fn call(&self, frame: &Frame) -> serve::Result<serve::Response> {
        respond(self.group.call(frame, Duration::ZERO, CALL_TIMEOUT)?)
    }
}

fn respond(reply: Frame) -> serve::Result<serve::Response> {
    match reply {
        Frame::Document(text) => Ok(serve::response(
            200,
            "application/json",
            serve::Body::whole(text),
        )),
        Frame::Configured {
            generation,
            hash,
            changes,
            resent,
        } => {
            let hash = hash.to_string();
            Ok(serve::json(
                200,
                &serde_json::json!({
                    "generation": generation,
                    "hash": hash,
                    "changes": changes,
                    "resent": resent,
                }),
            ))
        }
        _ => Ok(serve::json(200, &serde_json::json!({ "ok": true }))),
    }
}

fn query(name: &str) -> Option<frame::Query> {
    Some(match name {
        "accounts" => frame::Query::Accounts,
        "jobs" => frame::Query::Jobs,
        "workers" => frame::Query::Workers,
        "targets" => frame::Query::Targets,
        "members" => frame::Query::Members,
        "burn" => frame::Query::Burn,
        "config" => frame::Query::Config,
        _ => return None,
    })
}

fn unknown_path(path: &str) -> error::Error {
    error::Error::new(
        error::Kind::UnknownPath,
        format!("nothing is served at {path}"),
    )
}
