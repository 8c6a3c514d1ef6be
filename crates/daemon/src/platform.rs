//! Reads what the platform publishes: configuration values and the host list.

use crate::headers::{self, X_READER, X_VERSION};
use decision_core::{ConfigKey, ConfigReading, HostList, PublishedValue, ReadOutcome};
use domain::{HostId, Millis, SiteName, Version};
use reqwest::header::HeaderValue;
use reqwest::{Client, Response, StatusCode, Url};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for an answer, on top of what a watch asks for.
const READ_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest value read; the service holds values up to a megabyte.
const MAX_VALUE_BYTES: usize = 2 << 20;

/// The platform's services.
#[derive(Debug, Clone)]
pub struct Platform {
    client: Client,
    config_service: SocketAddr,
    host_list: SocketAddr,
    site: SiteName,
    reader: HeaderValue,
}

/// Why a read gave nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadError {
    Unreachable,
    Status(StatusCode),
    NoVersion,
    TooLarge,
    NotUtf8,
    NotAHostList,
}

impl Platform {
    /// Reads by `client` in the name of an entry host.
    pub fn new(
        client: Client,
        config_service: SocketAddr,
        host_list: SocketAddr,
        host: &HostId,
        site: SiteName,
    ) -> Platform {
        let reader = headers::id(host.as_str());
        Platform { client, config_service, host_list, site, reader }
    }

    /// Reads a published value; with `after`, waits for a newer one.
    pub async fn read_config(
        &self,
        key: ConfigKey,
        after: Option<Version>,
        wait_ms: Millis,
    ) -> ConfigReading {
        let outcome = match self.try_read_config(key, after, wait_ms).await {
            Ok(outcome) => outcome,
            Err(error) => {
                log::debug!("config: reading {key:?} failed: {error:?}");
                ReadOutcome::Unavailable
            }
        };
        ConfigReading { key, outcome }
    }

    async fn try_read_config(
        &self,
        key: ConfigKey,
        after: Option<Version>,
        wait_ms: Millis,
    ) -> Result<ReadOutcome, ReadError> {
        let mut url = match key {
            ConfigKey::Base => url_of(self.config_service, &["v1", "values", "base"]),
            ConfigKey::Overlay => {
                url_of(self.config_service, &["v1", "values", "overlay", self.site.as_str()])
            }
        };
        if let Some(after) = after {
            url.set_query(Some(&format!("after={after}&wait_ms={}", wait_ms.0)));
        }
        let response = self.get(url, Duration::from_millis(wait_ms.0) + READ_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => published(response).await.map(ReadOutcome::Value),
            StatusCode::NOT_MODIFIED => Ok(ReadOutcome::Unchanged),
            StatusCode::NOT_FOUND => Ok(ReadOutcome::Missing),
            status => Err(ReadError::Status(status)),
        }
    }

    /// Reads the host list; nothing if that fails.
    pub async fn read_host_list(&self) -> Option<HostList> {
        match self.try_read_host_list().await {
            Ok(list) => Some(list),
            Err(error) => {
                log::debug!("hosts: reading the list failed: {error:?}");
                None
            }
        }
    }

    async fn try_read_host_list(&self) -> Result<HostList, ReadError> {
        let url = url_of(self.host_list, &["v1", "hosts", self.site.as_str()]);
        let response = self.get(url, READ_TIMEOUT).await?;
        match response.status() {
            StatusCode::OK => serde_json::from_slice(&limited_body(response).await?)
                .map_err(|_| ReadError::NotAHostList),
            status => Err(ReadError::Status(status)),
        }
    }

    async fn get(&self, url: Url, timeout: Duration) -> Result<Response, ReadError> {
        let request = self.client.get(url).header(X_READER, self.reader.clone()).timeout(timeout);
        request.send().await.map_err(|_| ReadError::Unreachable)
    }
}

fn url_of(address: SocketAddr, segments: &[&str]) -> Url {
    let mut url = Url::parse("http://0.0.0.0/").unwrap_or_else(|_| unreachable!("a constant URL"));
    // None of these can fail for an `http` URL that has a host.
    let _ = url.set_ip_host(address.ip());
    let _ = url.set_port(Some(address.port()));
    if let Ok(mut path) = url.path_segments_mut() {
        path.clear().extend(segments);
    }
    url
}

async fn published(response: Response) -> Result<PublishedValue, ReadError> {
    let version =
        headers::parse(response.headers(), X_VERSION).ok().flatten().ok_or(ReadError::NoVersion)?;
    let text = String::from_utf8(limited_body(response).await?).map_err(|_| ReadError::NotUtf8)?;
    Ok(PublishedValue { version, text })
}

async fn limited_body(mut response: Response) -> Result<Vec<u8>, ReadError> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| ReadError::Unreachable)? {
        if body.len() + chunk.len() > MAX_VALUE_BYTES {
            return Err(ReadError::TooLarge);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
