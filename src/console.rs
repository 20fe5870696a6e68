//! Client of the operator API, and the output of results, for all commands.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use clap::ValueEnum;
use serde_json::Value;

/// Result of a call to the operator API.
pub type Result<T> = std::result::Result<T, Error>;

/// Time limits of a call, one for each round over the control members. The first is short, so that
/// a member that accepts connections but never answers does not delay the command. The second is
/// longer than an election. A single member gets only the second round.
const ROUND_TIMEOUTS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(20)];

/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Why a call failed.
#[derive(Clone, Debug)]
pub enum Error {
    /// The system rejected the call.
    Refused { status: u16, detail: String },
    /// No control member answered.
    Unreachable { detail: String },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused { status, detail } => write!(f, "refused ({status}): {detail}"),
            Self::Unreachable { detail } => write!(f, "unreachable: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

/// Output format of a result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    #[default]
    Table,
    Json,
}

/// Addresses of the control members, and the operator's token.
#[derive(clap::Args, Clone, Debug)]
pub struct Console {
    /// Operator addresses of the control members, IP:PORT, separated by commas
    #[arg(
        long,
        env = "ORIOLEREEL_CONTROL_HTTP",
        value_delimiter = ',',
        default_value = "127.0.0.1:7180"
    )]
    pub control: Vec<SocketAddr>,
    /// Operator token
    #[arg(
        long,
        env = "ORIOLEREEL_OPERATOR_TOKEN",
        default_value = "",
        hide_env_values = true
    )]
    pub operator_token: String,
}

/// An HTTP request of a command.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub url: String,
    pub token: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: Option<Vec<u8>>,
}

/// The answer to a `Call`.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Console {
    /// Gets a JSON document from the first member that answers.
    ///
    /// # Errors
    /// Returns `Refused` if the call is rejected, or `Unreachable` if no member answers.
    pub fn get(&self, path: &str) -> Result<Value> {
        self.call("GET", path, None)
    }

    /// Posts a JSON document to the first member that answers.
    ///
    /// # Errors
    /// Returns `Refused` if the call is rejected, or `Unreachable` if no member answers.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value> {
        self.call("POST", path, Some(body.to_string().into_bytes()))
    }

    fn call(&self, method: &str, path: &str, body: Option<Vec<u8>>) -> Result<Value> {
        let mut last_error = Error::Unreachable {
            detail: "no control address is given, expected at least one in --control".to_owned(),
        };
        let timeouts = if self.control.len() > 1 {
            &ROUND_TIMEOUTS[..]
        } else {
            &ROUND_TIMEOUTS[1..]
        };
        let attempts = timeouts
            .iter()
            .flat_map(|timeout| self.control.iter().map(move |addr| (addr, *timeout)));
        for (addr, timeout) in attempts {
            let call = Call {
                method,
                url: format!("http://{addr}{path}"),
                token: &self.operator_token,
                headers: vec![("content-type", "application/json".to_owned())],
                body: body.clone(),
            };
            match send(&call, timeout) {
                Ok(answer) => return document(&answer),
                Err(err) => last_error = err,
            }
        }
        Err(last_error)
    }
}

/// Sends a request and reads the complete answer.
///
/// # Errors
/// Returns `Unreachable` if there is no complete answer in time.
pub fn send(call: &Call<'_>, timeout: Duration) -> Result<Answer> {
    let failed = |detail: String| Error::Unreachable {
        detail: format!("{}: {detail}", call.url),
    };
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(timeout))
        .build()
        .new_agent();
    let mut request = ureq::http::Request::builder()
        .method(call.method)
        .uri(&call.url);
    if !call.token.is_empty() {
        request = request.header("authorization", format!("Bearer {}", call.token));
    }
    for (name, value) in &call.headers {
        request = request.header(*name, value);
    }
    let result = match &call.body {
        Some(body) => {
            let request = request
                .body(&**body)
                .map_err(|err| failed(err.to_string()))?;
            agent.run(request)
        }
        None => {
            let request = request.body(()).map_err(|err| failed(err.to_string()))?;
            agent.run(request)
        }
    };
    let mut answer = result.map_err(|err| failed(err.to_string()))?;
    let headers = answer
        .headers()
        .iter()
        .map(|(name, value)| {
            (
                name.to_string(),
                String::from_utf8_lossy(value.as_bytes()).into_owned(),
            )
        })
        .collect();
    let status = answer.status().as_u16();
    let limited = answer.body_mut().with_config().limit(MAX_ANSWER_BYTES);
    let body = limited
        .read_to_vec()
        .map_err(|err| failed(err.to_string()))?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// Parses the answer's body as a JSON document.
///
/// # Errors
/// Returns `Refused` with the detail from the answer if its status is not a success.
pub fn document(answer: &Answer) -> Result<Value> {
    let value: Value = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    if answer.status < 300 {
        return Ok(value);
    }
    let detail = value
        .get("detail")
        .and_then(Value::as_str)
        .map(str::to_owned);
    let text = detail.unwrap_or_else(|| String::from_utf8_lossy(&answer.body).into_owned());
    Err(Error::Refused {
        status: answer.status,
        detail: text,
    })
}

/// Prints a list of objects as a table with the given columns, or as JSON.
///
/// # Errors
/// Fails if standard output cannot be written to.
pub fn print(format: Format, value: &Value, columns: &[&str]) -> std::io::Result<()> {
    let mut wtr = std::io::stdout().lock();
    if format == Format::Json {
        return writeln!(wtr, "{value:#}");
    }
    let rows = value
        .as_array()
        .cloned()
        .unwrap_or_else(|| vec![value.clone()]);
    let cells: Vec<Vec<String>> = rows
        .iter()
        .map(|row| columns.iter().map(|column| cell(row.get(column))).collect())
        .collect();
    let widths: Vec<usize> = columns
        .iter()
        .enumerate()
        .map(|(index, column)| {
            let widest = cells.iter().map(|row| row[index].chars().count()).max();
            widest.unwrap_or(0).max(column.len())
        })
        .collect();
    let headings: Vec<String> = columns.iter().map(|column| column.to_uppercase()).collect();
    for row in std::iter::once(&headings).chain(&cells) {
        let line: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(text, width)| format!("{text:width$}"))
            .collect();
        writeln!(wtr, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}

/// Formats a value as the text of a table cell.
fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".to_owned(),
        Some(Value::String(text)) => text.clone(),
        Some(Value::Bool(true)) => "yes".to_owned(),
        Some(Value::Bool(false)) => "no".to_owned(),
        Some(Value::Array(items)) => items
            .iter()
            .map(|item| cell(Some(item)))
            .collect::<Vec<_>>()
            .join(","),
        Some(other) => other.to_string(),
    }
}
