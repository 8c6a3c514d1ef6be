//! Questions to a running process, over its operator address.

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

/// Characters of an error answer that are shown.
const MAX_SHOWN_CHARS: usize = 300;

/// One process.
#[derive(Debug)]
pub struct Client {
    http: reqwest::Client,
    operator: SocketAddr,
}

/// What can be explained.
#[derive(Debug, Clone, Copy)]
pub enum ExplainKind {
    /// Upstreams of an id.
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

/// What a process says of something that it doesn't know.
#[derive(Debug, Deserialize)]
struct Unknown {
    remedy: String,
}

/// Whether a process is alive and ready.
#[derive(Debug, Serialize)]
struct Health {
    alive: bool,
    ready: bool,
}

/// A process took the request to stop.
#[derive(Debug, Serialize)]
struct Draining {
    operator: SocketAddr,
    draining: bool,
}

/// An answer, whatever its status.
#[derive(Debug)]
struct Answer {
    status: StatusCode,
    body: String,
}

impl Client {
    /// A client for one process; nothing is sent yet.
    pub fn new(target: &Target) -> Result<Client, Report<CtlError>> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .timeout(target.timeout_ms)
            .build()
            .change_context(CtlError::NoClient)?;
        Ok(Client { http, operator: target.operator })
    }

    /// Prints the state, or a part of it.
    pub async fn dump(
        &self,
        format: Format,
        part: Option<&str>,
    ) -> Result<Status, Report<CtlError>> {
        let state = self.json(Method::GET, "/state").await?;
        match part {
            None => format.print_value(&state)?,
            Some(part) => format.print_value(find_part(&state, part)?)?,
        }
        Ok(Status::Done)
    }

    /// Prints why something was treated so.
    pub async fn explain(
        &self,
        format: Format,
        kind: ExplainKind,
        id: &str,
    ) -> Result<Status, Report<CtlError>> {
        let path = format!("/explain/{kind}/{}", encode_segment(id));
        let explained = self.json(Method::GET, &path).await?;
        let text = match kind {
            ExplainKind::Upstream => explain::upstreams_text(&explained),
            ExplainKind::Call => explain::call_text(&explained),
        };
        let text = text.ok_or_else(|| Report::new(CtlError::StrangeAnswer(self.operator)))?;
        format.print(&explained, &text)?;
        Ok(Status::Done)
    }

    /// Asks the process to stop gracefully; returns once it has taken the request.
    pub async fn drain(&self, format: Format) -> Result<Status, Report<CtlError>> {
        self.ask(Method::POST, "/drain").await?.accepted("/drain")?;
        let draining = Draining { operator: self.operator, draining: true };
        format.print(&draining, &format!("{} is draining", self.operator))?;
        Ok(Status::Done)
    }

    /// Prints whether the process is alive and ready.
    pub async fn health(&self, format: Format) -> Result<Status, Report<CtlError>> {
        let alive = self.ask(Method::GET, "/livez").await?.status.is_success();
        let ready = self.ask(Method::GET, "/readyz").await?.status.is_success();
        let yes = |is: bool| if is { "yes" } else { "no" };
        let text = format!("alive: {}\nready: {}", yes(alive), yes(ready));
        format.print(&Health { alive, ready }, &text)?;
        Ok(if alive && ready { Status::Done } else { Status::ProblemsFound })
    }

    /// The configuration that the process has in force.
    pub async fn config_in_force(&self) -> Result<SiteConfig, Report<CtlError>> {
        let state = self.json(Method::GET, "/state").await?;
        match state.get("config") {
            None => Err(Report::new(CtlError::StrangeAnswer(self.operator))),
            Some(Value::Null) => Err(Report::new(CtlError::NotConfigured)),
            Some(config) => serde_json::from_value(config.clone())
                .change_context(CtlError::StrangeAnswer(self.operator)),
        }
    }

    async fn json(&self, method: Method, path: &str) -> Result<Value, Report<CtlError>> {
        let answer = self.ask(method, path).await?.accepted(path)?;
        serde_json::from_str(&answer.body).change_context(CtlError::StrangeAnswer(self.operator))
    }

    async fn ask(&self, method: Method, path: &str) -> Result<Answer, Report<CtlError>> {
        let unreachable = || CtlError::Unreachable(self.operator);
        let url = format!("http://{}{path}", self.operator);
        let response =
            self.http.request(method, url).send().await.change_context_lazy(unreachable)?;
        let status = response.status();
        let body = response.text().await.change_context_lazy(unreachable)?;
        Ok(Answer { status, body })
    }
}

impl Answer {
    fn accepted(self, path: &str) -> Result<Answer, Report<CtlError>> {
        match self.status {
            status if status.is_success() => Ok(self),
            StatusCode::NOT_FOUND => {
                let unknown: Option<Unknown> = serde_json::from_str(&self.body).ok();
                let remedy = unknown.map(|unknown| unknown.remedy);
                Err(Report::new(CtlError::NotFound { path: path.to_owned(), remedy }))
            }
            status => {
                let shown: String = self.body.chars().take(MAX_SHOWN_CHARS).collect();
                let answer = shown.escape_debug().to_string();
                Err(Report::new(CtlError::Refused { status: status.as_u16(), answer }))
            }
        }
    }
}

/// The field of a state, nested ones joined by dots; elements of arrays by their index.
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

/// An id as one path segment: everything but unreserved characters is percent-encoded.
fn encode_segment(id: &str) -> String {
    let encode = |byte: u8| match byte {
        b'0'..=b'9' | b'A'..=b'Z' | b'a'..=b'z' | b'-' | b'_' | b'~' | b'.' => {
            char::from(byte).to_string()
        }
        byte => format!("%{byte:02X}"),
    };
    id.bytes().map(encode).collect()
}
