//! What every command of the shell shares: where control is, who asks, how results are shown.

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use clap::ValueEnum;
use serde_json::Value;

/// Result of a call to the system.
pub type Result<T> = std::result::Result<T, Error>;

/// Time allowed for a call: first a short one, so that a member that accepts connections and says
/// nothing does not hold the shell up, then one that outlasts an election.
const TIMEOUTS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(20)];

/// Largest answer.
const MAX_BYTES: u64 = 64 << 20;

/// Why a call failed.
#[derive(Clone, Debug)]
pub enum Error {
    /// The system has refused it.
    Refused { status: u16, detail: String },
    /// No member answered.
    Unreachable { detail: String },
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Refused { status, detail } => write!(f, "refused ({status}): {detail}"),
            Self::Unreachable { detail } => write!(f, "not reached: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

/// How a result is printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum Format {
    #[default]
    Table,
    Json,
}

/// Where control is and who asks.
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

/// A request of the shell.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    pub method: &'a str,
    pub url: String,
    pub token: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: Option<Vec<u8>>,
}

/// An answer to the shell.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Console {
    /// Reads a document from the first member that answers.
    ///
    /// # Errors
    /// `Refused`, or `Unreachable` when no member answers.
    pub fn get(&self, path: &str) -> Result<Value> {
        self.call("GET", path, None)
    }

    /// Sends a document to the first member that answers.
    ///
    /// # Errors
    /// `Refused`, or `Unreachable` when no member answers.
    pub fn post(&self, path: &str, body: &Value) -> Result<Value> {
        self.call("POST", path, Some(body.to_string().into_bytes()))
    }

    fn call(&self, method: &str, path: &str, body: Option<Vec<u8>>) -> Result<Value> {
        let mut last = Error::Unreachable {
            detail: "no control address is set".to_owned(),
        };
        let rounds = if self.control.len() > 1 {
            &TIMEOUTS[..]
        } else {
            &TIMEOUTS[1..]
        };
        let tries = rounds
            .iter()
            .flat_map(|timeout| self.control.iter().map(move |addr| (addr, *timeout)));
        for (addr, timeout) in tries {
            let call = Call {
                method,
                url: format!("http://{addr}{path}"),
                token: &self.operator_token,
                headers: vec![("content-type", "application/json".to_owned())],
                body: body.clone(),
            };
            match send(&call, timeout) {
                Ok(answer) => return document(&answer),
                Err(err) => last = err,
            }
        }
        Err(last)
    }
}

/// Sends a request and reads the whole answer.
///
/// # Errors
/// `Unreachable` when there is no answer in time.
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
    let limited = answer.body_mut().with_config().limit(MAX_BYTES);
    let body = limited
        .read_to_vec()
        .map_err(|err| failed(err.to_string()))?;
    Ok(Answer {
        status,
        headers,
        body,
    })
}

/// Reads an answer as a document.
///
/// # Errors
/// `Refused` with the answer's own detail.
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

/// Prints a list as a table of the given columns, or as JSON.
///
/// # Errors
/// When standard output is closed.
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
        .map(|(at, column)| {
            let widest = cells.iter().map(|row| row[at].chars().count()).max();
            widest.unwrap_or(0).max(column.len())
        })
        .collect();
    let heads: Vec<String> = columns.iter().map(|column| column.to_uppercase()).collect();
    for row in std::iter::once(&heads).chain(&cells) {
        let line: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(text, width)| format!("{text:width$}"))
            .collect();
        writeln!(wtr, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}

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
