//! Headers of a caller's request.

use std::time::Duration;

use crate::error;
use crate::serve;

/// Result of reading headers.
pub type Result<T> = error::Result<T>;

/// Maximum length of an idempotency key.
const MAX_KEY_BYTES: usize = 128;

/// Longest wait that a caller may ask for; longer waits are shortened to it.
const MAX_WAIT: Duration = Duration::from_secs(300);

/// Longest deadline that a caller may set: 30 days.
const MAX_DEADLINE_S: u64 = 30 * 86_400;

/// Response header with the id of the request.
pub const REQUEST: &str = "oriolereel-request";

/// Response header with the number of the attempt.
pub const ATTEMPT: &str = "oriolereel-attempt";

/// Response header with the CRC-32 of the body, in hexadecimal.
pub const CHECKSUM: &str = "oriolereel-crc32";

/// Request header that is `false` for a request that must run at most once.
const REPEATABLE: &str = "oriolereel-repeatable";

/// Request header with the deadline, in seconds from now.
const DEADLINE: &str = "oriolereel-deadline";

/// Header with the key that identifies a request when it is sent again.
pub const KEY: &str = "idempotency-key";

/// Parsed headers of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Headers {
    pub key: Option<String>,
    pub repeatable: bool,
    pub wait: Duration,
    pub deadline: Option<Duration>,
    pub content_type: String,
}

impl Headers {
    /// Parses and checks the headers.
    ///
    /// # Errors
    /// Returns `InvalidHeader` with the header, its value and what is expected.
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

/// Returns the bearer token.
///
/// # Errors
/// Returns `Unauthorized` when there is none.
pub fn token(request: &serve::Request) -> Result<&str> {
    let value = serve::header(request, "authorization")?;
    let token = value
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim);
    token.filter(|token| !token.is_empty()).ok_or_else(|| {
        error::Error::new(
            error::Kind::Unauthorized,
            "no bearer token, expected `Authorization: Bearer TOKEN`",
        )
    })
}

/// Returns the time that the caller wants to wait, from `Prefer: wait=SECONDS`.
///
/// # Errors
/// Returns `InvalidHeader` when it is not a number of seconds.
pub fn wait(request: &serve::Request) -> Result<Duration> {
    let value = serve::header(request, "prefer")?.unwrap_or_default();
    let items = value.split([',', ';']).map(str::trim);
    let Some(seconds) = items.filter_map(|item| item.strip_prefix("wait=")).next() else {
        return Ok(Duration::ZERO);
    };
    let seconds: u64 = seconds.trim_matches('"').parse().map_err(|_not_a_number| {
        invalid_header("prefer", value, "wait=SECONDS with a whole number")
    })?;
    Ok(Duration::from_secs(seconds).min(MAX_WAIT))
}

fn key(request: &serve::Request) -> Result<Option<String>> {
    let Some(value) = serve::header(request, KEY)? else {
        return Ok(None);
    };
    let value = value.trim_matches('"');
    let is_visible = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty() || value.len() > MAX_KEY_BYTES || !is_visible {
        return Err(invalid_header(
            KEY,
            value,
            "1 to 128 visible ASCII characters",
        ));
    }
    Ok(Some(value.to_owned()))
}

fn repeatable(request: &serve::Request) -> Result<bool> {
    match serve::header(request, REPEATABLE)? {
        None | Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(other) => Err(invalid_header(REPEATABLE, other, "true or false")),
    }
}

fn deadline(request: &serve::Request) -> Result<Option<Duration>> {
    let Some(value) = serve::header(request, DEADLINE)? else {
        return Ok(None);
    };
    let expected = "1 to 2592000 seconds";
    let seconds: u64 = value
        .parse()
        .map_err(|_not_a_number| invalid_header(DEADLINE, value, expected))?;
    if !(1..=MAX_DEADLINE_S).contains(&seconds) {
        return Err(invalid_header(DEADLINE, value, expected));
    }
    Ok(Some(Duration::from_secs(seconds)))
}

fn invalid_header(name: &str, value: &str, expected: &str) -> error::Error {
    let detail = format!("invalid header {name}: value `{value}`, expected {expected}");
    error::Error::new(error::Kind::InvalidHeader, detail)
}
