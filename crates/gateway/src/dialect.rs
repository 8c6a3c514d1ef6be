//! How requests and answers are marked: header names and the reading of their values.
//!
//! The product's own names are the default; whoever embeds the product states others.

use dispatch::LoadReport;

/// Names and readings of marks, all in lower case.
#[derive(Debug, Clone, Copy)]
pub struct Dialect {
    /// Name of a request, set by the caller and echoed by upstreams.
    pub request_id: &'static str,
    /// Milliseconds that the sender will wait.
    pub deadline_ms: &'static str,
    /// Mark of an answer that an upstream made.
    pub seal: &'static str,
    /// The only upstream that may run the request.
    pub expected_upstream: &'static str,
    /// The upstream that answers.
    pub upstream: &'static str,
    /// Declares that the request was not run.
    pub not_run: &'static str,
    /// Load of the upstream.
    pub load: &'static str,
    /// Cause of a final answer of the host itself.
    pub cause: &'static str,
    /// Path of the readiness check.
    pub ready_path: &'static str,
    /// Reads the value of [`Dialect::load`].
    pub read_load: fn(&str) -> Option<LoadReport>,
}
