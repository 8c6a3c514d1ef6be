//! Limits of a host that probes upstreams by itself, without a scheduler.

use crate::upstream_set::ZoneScope;

/// Upstreams that are probed at once before a request is sent. The best of three serves far more
/// requests in time than a random choice; a fourth gained nothing.
pub const PROBES_PER_ROUND: usize = 3;

/// Cost up to which no further round of probes is made.
pub const GOOD_ENOUGH_COST: f64 = 2.0;

/// Cost at which pending probes are not waited for: an idle upstream at normal speed.
pub const IMMEDIATE_COST: f64 = 1.2;

/// Probes of each round: the local zone first, then mostly other zones.
pub const PROBE_ROUNDS: [&[(usize, ZoneScope)]; 2] = [
    &[(PROBES_PER_ROUND, ZoneScope::Local)],
    &[(PROBES_PER_ROUND - 1, ZoneScope::Other), (1, ZoneScope::Local)],
];

/// Added for an upstream that reports itself unhealthy. It stays the last resort, as the report may
/// be false.
pub const UNHEALTHY_COST: f64 = 50.0;
