//! The upstreams' own ledgers, held against what callers were told.

use crate::run::LoadOutcome;
use domain::FastMap;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// How often one upstream ran each request, by request id.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ledger {
    /// Runs by request id.
    pub runs: BTreeMap<String, u64>,
}

/// What the ledgers say against the callers' view.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerCheck {
    /// At-most-once requests that ran more than once.
    pub doubled: u64,
    /// Requests that ran although their caller was told that they did not.
    pub false_not_run: u64,
}

/// Why a ledger could not be read.
#[derive(Debug)]
pub struct LedgerError {
    address: SocketAddr,
    error: reqwest::Error,
}

impl fmt::Display for LedgerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LedgerError { address, error } = self;
        write!(f, "no ledger from {address}: {error}: check that the upstream stand-in runs")
    }
}

impl std::error::Error for LedgerError {}

/// Reads an upstream stand-in's ledger.
///
/// # Errors
/// The stand-in does not answer, or with something else.
pub async fn read_ledger(
    client: &reqwest::Client,
    address: SocketAddr,
) -> Result<Ledger, LedgerError> {
    let fail = |error| LedgerError { address, error };
    let url = format!("http://{address}/standin/runs");
    let answer = client.get(url).send().await.and_then(reqwest::Response::error_for_status);
    answer.map_err(fail)?.json().await.map_err(fail)
}

impl LedgerCheck {
    /// Compares a run with the ledgers of all upstreams.
    pub fn new(outcome: &LoadOutcome, ledgers: &[Ledger]) -> LedgerCheck {
        let mut runs = FastMap::<&str, u64>::default();
        for (request, count) in ledgers.iter().flat_map(|ledger| &ledger.runs) {
            *runs.entry(request).or_default() += count;
        }
        let runs_of = |id: &String| runs.get(id.as_str()).copied().unwrap_or(0);
        let doubled = outcome.at_most_once.iter().filter(|id| runs_of(id) > 1).count();
        let false_not_run = outcome.told_not_run.iter().filter(|id| runs_of(id) > 0).count();
        LedgerCheck { doubled: doubled as u64, false_not_run: false_not_run as u64 }
    }
}
