//! Requests to operators' endpoints and to the stand-ins' control paths.

use crate::error::FleetError;
use error_stack::{Report, ResultExt};
use reqwest::redirect;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

/// A plain HTTP client.
#[derive(Debug, Clone)]
pub struct Client {
    http: reqwest::Client,
}

impl Client {
    /// A client that follows no redirects and uses no proxies.
    ///
    /// # Errors
    /// The system gives no more resources.
    pub fn new() -> Result<Client, Report<FleetError>> {
        let http = reqwest::Client::builder()
            .redirect(redirect::Policy::none())
            .no_proxy()
            .timeout(TIMEOUT)
            .build()
            .change_context(FleetError::Request { url: "any".to_owned() })?;
        Ok(Client { http })
    }

    /// Whether a path answers with success.
    pub async fn is_ok(&self, address: SocketAddr, path: &str) -> bool {
        let answer = self.http.get(format!("http://{address}{path}")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    }

    /// A path's text.
    ///
    /// # Errors
    /// No answer, or one that is no success.
    pub async fn text(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<String, Report<FleetError>> {
        let url = format!("http://{address}{path}");
        let answer = self.http.get(&url).send().await.and_then(reqwest::Response::error_for_status);
        let fail = || FleetError::Request { url: url.clone() };
        answer.change_context_lazy(fail)?.text().await.change_context_lazy(fail)
    }

    /// A path's JSON value.
    ///
    /// # Errors
    /// No answer, one that is no success, or something other than the type.
    pub async fn json<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, Report<FleetError>> {
        let text = self.text(address, path).await?;
        serde_json::from_str(&text)
            .change_context_lazy(|| FleetError::Request { url: format!("http://{address}{path}") })
    }

    /// Puts a JSON value; returns the answer's text.
    ///
    /// # Errors
    /// No answer, or one that is no success.
    pub async fn put(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<String, Report<FleetError>> {
        send(self.http.put(format!("http://{address}{path}")), value).await
    }

    /// Posts a JSON value.
    ///
    /// # Errors
    /// No answer, or one that is no success.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<(), Report<FleetError>> {
        send(self.http.post(format!("http://{address}{path}")), value).await.map(drop)
    }
}

async fn send(
    request: reqwest::RequestBuilder,
    value: &impl Serialize,
) -> Result<String, Report<FleetError>> {
    let answer = request.json(value).send().await;
    let text = match answer.and_then(reqwest::Response::error_for_status) {
        Ok(answer) => answer.text().await,
        Err(error) => Err(error),
    };
    text.map_err(|error| {
        let url = error.url().map(ToString::to_string).unwrap_or_default();
        Report::new(error).change_context(FleetError::Request { url })
    })
}
