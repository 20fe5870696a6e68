//! The complete list of error kinds, and the table that maps each kind to its HTTP answer.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Result of an operation whose failure may be reported to a caller.
pub type Result<T> = std::result::Result<T, Error>;

/// Whether a failed request has run on a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request did not run and will not.
    No,
    /// The request ran, completely or in part.
    Yes,
    /// It is not known whether the request ran.
    Unknown,
}

/// Kinds of errors that are reported to callers and operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    Malformed,
    InvalidHeader,
    Unauthorized,
    UnknownService,
    UnknownRequest,
    UnknownPath,
    WrongMethod,
    BodyTooLarge,
    KeyReused,
    NeverFits,
    QueueFull,
    RateLimited,
    NoTarget,
    NotLeader,
    NoQuorum,
    Overloaded,
    Unreachable,
    ShuttingDown,
    StaleConfiguration,
    Deadline,
    Cancelled,
    Stopped,
    GangFailed,
    TargetFailed,
    AnswerInvalid,
    AnswerLost,
    AnswerExpired,
    InvalidConfiguration,
    OldGeneration,
    GenerationConflict,
    InvalidMember,
    Storage,
    Internal,
}

/// A row of the table: the HTTP answer for one kind of error.
#[derive(Clone, Copy, Debug)]
pub struct Row {
    /// The kind of error.
    pub kind: Kind,
    /// HTTP status code.
    pub status: u16,
    /// Name in the `kind` member of problem documents and in metric labels.
    pub name: &'static str,
    /// Whether the request ran, unless the error states otherwise.
    pub ran: Ran,
    /// Value of the `Retry-After` header in seconds; zero omits the header.
    pub retry_after_s: u32,
}

const fn row(kind: Kind, status: u16, name: &'static str, ran: Ran, retry_after_s: u32) -> Row {
    Row {
        kind,
        status,
        name,
        ran,
        retry_after_s,
    }
}

/// The HTTP answer for each kind.
pub const TABLE: &[Row] = &[
    row(Kind::Malformed, 400, "malformed", Ran::No, 0),
    row(Kind::InvalidHeader, 400, "invalid-header", Ran::No, 0),
    row(Kind::Unauthorized, 401, "unauthorized", Ran::No, 0),
    row(Kind::UnknownService, 404, "unknown-service", Ran::No, 0),
    row(
        Kind::UnknownRequest,
        404,
        "unknown-request",
        Ran::Unknown,
        0,
    ),
    row(Kind::UnknownPath, 404, "unknown-path", Ran::No, 0),
    row(Kind::WrongMethod, 405, "wrong-method", Ran::No, 0),
    row(Kind::BodyTooLarge, 413, "body-too-large", Ran::No, 0),
    row(Kind::KeyReused, 422, "key-reused", Ran::No, 0),
    row(Kind::NeverFits, 422, "never-fits", Ran::No, 0),
    row(Kind::QueueFull, 429, "queue-full", Ran::No, 1),
    row(Kind::RateLimited, 429, "rate-limited", Ran::No, 1),
    row(Kind::NoTarget, 503, "no-target", Ran::No, 2),
    row(Kind::NotLeader, 503, "not-leader", Ran::No, 1),
    row(Kind::NoQuorum, 503, "no-quorum", Ran::Unknown, 2),
    row(Kind::Overloaded, 503, "overloaded", Ran::No, 1),
    row(Kind::Unreachable, 503, "unreachable", Ran::Unknown, 1),
    row(Kind::ShuttingDown, 503, "shutting-down", Ran::No, 1),
    row(
        Kind::StaleConfiguration,
        503,
        "stale-configuration",
        Ran::No,
        2,
    ),
    row(Kind::Deadline, 504, "deadline", Ran::Unknown, 0),
    row(Kind::Cancelled, 409, "cancelled", Ran::Unknown, 0),
    row(Kind::Stopped, 409, "stopped", Ran::Yes, 0),
    row(Kind::GangFailed, 502, "gang-failed", Ran::Unknown, 0),
    row(Kind::TargetFailed, 502, "target-failed", Ran::Yes, 0),
    row(Kind::AnswerInvalid, 502, "answer-invalid", Ran::Yes, 0),
    row(Kind::AnswerLost, 502, "answer-lost", Ran::Unknown, 0),
    row(Kind::AnswerExpired, 410, "answer-expired", Ran::Yes, 0),
    row(
        Kind::InvalidConfiguration,
        422,
        "invalid-configuration",
        Ran::No,
        0,
    ),
    row(Kind::OldGeneration, 409, "old-generation", Ran::No, 0),
    row(
        Kind::GenerationConflict,
        409,
        "generation-conflict",
        Ran::No,
        0,
    ),
    row(Kind::InvalidMember, 409, "invalid-member", Ran::No, 0),
    row(Kind::Storage, 500, "storage", Ran::Unknown, 0),
    row(Kind::Internal, 500, "internal", Ran::Unknown, 0),
];

impl Kind {
    /// Returns the table's row for this kind.
    pub fn row(self) -> &'static Row {
        TABLE
            .iter()
            .find(|row| row.kind == self)
            .expect("every kind has a row in the table")
    }
}

/// An error, and whether the request that failed has run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Error {
    /// The kind, which determines the HTTP answer.
    pub kind: Kind,
    /// Whether the request has run.
    pub ran: Ran,
    /// Explanation for the person who reads the answer.
    pub detail: String,
}

impl Error {
    /// Creates an error whose `ran` is the default of its kind.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            ran: kind.row().ran,
            detail: detail.into(),
        }
    }

    /// Sets whether the request has run.
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.row().name, self.detail)
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(err: std::io::Error) -> Self {
        Self::new(Kind::Storage, err.to_string())
    }
}
