//! Client for the operator address of a running process.

use crate::args::Target;
use crate::error::CtlError;
use crate::explain;
use crate::output::{Format, Status};
use config::SiteConfig;
use error_stack::{Report, ResultExt};
use reqwest::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::fmt;
use std::net::SocketAddr;

/// Longest part of an error response's body that is printed, in characters.
const MAX_BODY_CHARS: usize = 300;

/// Client of one process.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    operator: SocketAddr,
}

/// What the process can explain.
#[derive(Debug, Clone, Copy)]
pub enum ExplainKind {
    /// All upstreams with an id; services may use the same id.
    Upstream,
    /// A call.
    Call,
}

impl fmt::Display for ExplainKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ExplainKind::Upstream => "upstream",
            ExplainKind::Call => "call",
        })
    }
}

/// Body of a 404 response.
#[derive(Debug, Deserialize)]
struct NotFoundBody {
    remedy: String,
}

/// Whether a process is alive and ready.
#[derive(Debug, Serialize)]
struct Health {
    alive: bool,
    ready: bool,
}

/// Result of the `drain` command: the process has accepted the request to stop.
#[derive(Debug, Serialize)]
struct Draining {
    operator: SocketAddr,
    draining: bool,
}

/// A response with any status.
#[derive(Debug)]
struct Response {
    status: StatusCode,
    body: String,
}

impl Client {
    /// Creates a client without connecting.
    pub fn new(target: &Target) -> Result<Client, Report<CtlError>> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(target.timeout_ms)
            .build()
            .change_context(CtlError::HttpClient)?;
        Ok(Client { http, operator: target.operator })
    }

    /// Prints the state, or a part of it.
    pub async fn dump(
        &self,
        format: Format,
        part: Option<&str>,
    ) -> Result<Status, Report<CtlError>> {
        let state = self.request_json(Method::GET, "/state").await?;
        match part {
            None => format.print_value(&state)?,
            Some(part) => format.print_value(find_part(&state, part)?)?,
        }
        Ok(Status::Done)
    }

    /// Prints the explanation of an upstream's state or of the decisions on a call.
    pub async fn explain(
        &self,
        format: Format,
        kind: ExplainKind,
        id: &str,
    ) -> Result<Status, Report<CtlError>> {
        let path = format!("/explain/{kind}/{}", encode_segment(id));
        let explained = self.request_json(Method::GET, &path).await?;
        let text = match kind {
            ExplainKind::Upstream => explain::upstreams_text(&explained),
            ExplainKind::Call => explain::call_text(&explained),
        };
        let text = text.ok_or_else(|| Report::new(CtlError::UnexpectedResponse(self.operator)))?;
        format.print(&explained, &text)?;
        Ok(Status::Done)
    }

    /// Asks the process to stop gracefully; returns once it has accepted the request.
    pub async fn drain(&self, format: Format) -> Result<Status, Report<CtlError>> {
        self.request(Method::POST, "/drain").await?.require_success("/drain")?;
        let draining = Draining { operator: self.operator, draining: true };
        format.print(&draining, &format!("{} is draining", self.operator))?;
        Ok(Status::Done)
    }

    /// Prints whether the process is alive and ready.
    pub async fn health(&self, format: Format) -> Result<Status, Report<CtlError>> {
        let alive = self.request(Method::GET, "/livez").await?.status.is_success();
        let ready = self.request(Method::GET, "/readyz").await?.status.is_success();
        let yes_or_no = |is: bool| if is { "yes" } else { "no" };
        let text = format!("alive: {}\nready: {}", yes_or_no(alive), yes_or_no(ready));
        format.print(&Health { alive, ready }, &text)?;
        Ok(if alive && ready { Status::Done } else { Status::ProblemsFound })
    }

    /// The configuration that the process has in force.
    pub async fn config_in_force(&self) -> Result<SiteConfig, Report<CtlError>> {
        let state = self.request_json(Method::GET, "/state").await?;
        match state.get("config") {
            None => Err(Report::new(CtlError::UnexpectedResponse(self.operator))),
            Some(Value::Null) => Err(Report::new(CtlError::NotConfigured)),
            Some(config) => serde_json::from_value(config.clone())
                .change_context(CtlError::UnexpectedResponse(self.operator)),
        }
    }

    async fn request_json(&self, method: Method, path: &str) -> Result<Value, Report<CtlError>> {
        let response = self.request(method, path).await?.require_success(path)?;
        serde_json::from_str(&response.body)
            .change_context(CtlError::UnexpectedResponse(self.operator))
    }

    async fn request(&self, method: Method, path: &str) -> Result<Response, Report<CtlError>> {
        let unreachable = || CtlError::Unreachable(self.operator);
        let url = format!("http://{}{path}", self.operator);
        let response =
            self.http.request(method, url).send().await.change_context_lazy(unreachable)?;
        let status = response.status();
        let body = response.text().await.change_context_lazy(unreachable)?;
        Ok(Response { status, body })
    }
}

impl Response {
    fn require_success(self, path: &str) -> Result<Response, Report<CtlError>> {
        match self.status {
            status if status.is_success() => Ok(self),
            StatusCode::NOT_FOUND => {
                let not_found: Option<NotFoundBody> = serde_json::from_str(&self.body).ok();
                let remedy = not_found.map(|body| body.remedy);
                Err(Report::new(CtlError::NotFound { path: path.to_owned(), remedy }))
            }
            status => {
                let start: String = self.body.chars().take(MAX_BODY_CHARS).collect();
                let body = start.escape_debug().to_string();
                Err(Report::new(CtlError::ErrorStatus { status: status.as_u16(), body }))
            }
        }
    }
}

/// Finds a part of the state by the names of nested fields and the indexes of array elements,
/// joined by dots.
fn find_part<'a>(state: &'a Value, part: &str) -> Result<&'a Value, Report<CtlError>> {
    part.split('.').try_fold(state, |value, name| {
        let found = match value {
            Value::Object(fields) => fields.get(name),
            Value::Array(items) => name.parse().ok().and_then(|index: usize| items.get(index)),
            _ => None,
        };
        found.ok_or_else(|| {
            Report::new(CtlError::NoSuchPart { part: part.to_owned(), known: part_names(value) })
        })
    })
}

fn part_names(value: &Value) -> Vec<String> {
    match value {
        Value::Object(fields) => fields.keys().cloned().collect(),
        Value::Array(items) => (0..items.len()).map(|index| index.to_string()).collect(),
        _ => Vec::new(),
    }
}

/// Encodes an id as one path segment: percent-encodes all but unreserved characters.
fn encode_segment(id: &str) -> String {
    let encode = |byte: u8| match byte {
        b'0'..=b'9' | b'A'..=b'Z' | b'a'..=b'z' | b'-' | b'_' | b'~' | b'.' => {
            char::from(byte).to_string()
        }
        byte => format!("%{byte:02X}"),
    };
    id.bytes().map(encode).collect()
}
