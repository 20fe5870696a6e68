//! The headers of a caller's request.

use std::time::Duration;

use crate::error;
use crate::serve;

/// Result of reading headers.
pub type Result<T> = error::Result<T>;

/// Longest idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Longest time that a caller may ask to wait.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// Longest deadline that a caller may set.
const MAX_DEADLINE_S: u64 = 30 * 86_400;

/// Names the request in answers.
pub const REQUEST: &str = "oriolereel-request";

/// Names the attempt in answers.
pub const ATTEMPT: &str = "oriolereel-attempt";

/// Checksum of an answer's body.
pub const CHECKSUM: &str = "oriolereel-crc32";

/// Marks a request that must run at most once.
const REPEATABLE: &str = "oriolereel-repeatable";

/// Seconds until the caller's deadline.
const DEADLINE: &str = "oriolereel-deadline";

/// Identifies a request across resends.
pub const KEY: &str = "idempotency-key";

/// What the headers of a submission say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headers {
    pub key: Option<String>,
    pub repeatable: bool,
    pub wait: Duration,
    pub deadline: Option<Duration>,
    pub content_type: String,
}

impl Headers {
    /// Reads and checks the headers.
    ///
    /// # Errors
    /// `InvalidHeader` naming the header, its value and what is allowed.
    pub fn read(request: &serve::Request) -> Result<Self> {
        Ok(Self {
            key: key(request)?,
            repeatable: repeatable(request)?,
            wait: wait(request)?,
            deadline: deadline(request)?,
            content_type: serve::header(request, "content-type")?
                .unwrap_or("application/octet-stream")
                .to_owned(),
        })
    }
}

/// The bearer token.
///
/// # Errors
/// `Unauthorized` when there is none.
pub fn token(request: &serve::Request) -> Result<&str> {
    let value = serve::header(request, "authorization")?;
    let token = value
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim);
    token.filter(|token| !token.is_empty()).ok_or_else(|| {
        error::Error::new(
            error::Kind::Unauthorized,
            "send `Authorization: Bearer TOKEN`",
        )
    })
}

/// Time that the caller wants to wait, from `Prefer: wait=SECONDS`.
///
/// # Errors
/// `InvalidHeader` when it is not a number of seconds.
pub fn wait(request: &serve::Request) -> Result<Duration> {
    let value = serve::header(request, "prefer")?.unwrap_or_default();
    let items = value.split([',', ';']).map(str::trim);
    let Some(seconds) = items.filter_map(|item| item.strip_prefix("wait=")).next() else {
        return Ok(Duration::ZERO);
    };
    let seconds: u64 = seconds
        .trim_matches('"')
        .parse()
        .map_err(|_not_a_number| invalid("prefer", value, "wait=SECONDS, a whole number"))?;
    Ok(Duration::from_secs(seconds).min(MAX_WAIT))
}

fn key(request: &serve::Request) -> Result<Option<String>> {
    let Some(value) = serve::header(request, KEY)? else {
        return Ok(None);
    };
    let value = value.trim_matches('"');
    let visible = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_KEY_BYTES || !visible {
        return Err(invalid(KEY, value, "1 to 128 visible characters"));
    }
    Ok(Some(value.to_owned()))
}

fn repeatable(request: &serve::Request) -> Result<bool> {
    match serve::header(request, REPEATABLE)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(other) => Err(invalid(REPEATABLE, other, "true or false")),
    }
}

fn deadline(request: &serve::Request) -> Result<Option<Duration>> {
    let Some(value) = serve::header(request, DEADLINE)? else {
        return Ok(None);
    };
    let allowed = "1 to 2592000 seconds";
    let seconds: u64 = value
        .parse()
        .map_err(|_not_a_number| invalid(DEADLINE, value, allowed))?;
    if !(1..=MAX_DEADLINE_S).contains(&seconds) {
        return Err(invalid(DEADLINE, value, allowed));
    }
    Ok(Some(Duration::from_secs(seconds)))
}

fn invalid(name: &str, value: &str, allowed: &str) -> error::Error {
    let detail = format!("{name}: `{value}` is not allowed; give {allowed}");
    error::Error::new(error::Kind::InvalidHeader, detail)
}
