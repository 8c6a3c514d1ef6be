//! Validation of a merged configuration.
//!
//! Checks the rules that types can't express, most of which involve several fields. Each
//! check reports its problems and continues, so that one run finds them all.

use crate::field_path::FieldPath;
use crate::model::{
    HedgeSettings, HostLimits, MeasurementBudget, RetrySettings, Route, Service, SiteConfig,
    Upstream,
};
use crate::path;
use crate::problem::{MAX_PROBLEMS, Problem, ProblemKind, Source};
use crate::route::RouteTable;
use domain::{ByteCount, FastMap, FastSet, PerSecond, ServiceName, Share, UpstreamId, ZoneName};
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;

/// Upper limit of `limits.held_answer_bytes`: one response may be buffered for each request in
/// progress.
pub const MAX_HELD_ANSWER_BYTES: ByteCount = ByteCount(1 << 20);

impl SiteConfig {
    /// Validates the configuration and returns at most [`MAX_PROBLEMS`] problems; empty if it is
    /// valid.
    pub fn check(&self) -> Vec<Problem> {
        let mut report = Report::default();
        check_zones(&mut report, &self.availability_zones);
        check_limits(&mut report, &self.limits);
        check_measurement(&mut report, &self.measurement);
        check_retry(&mut report, &self.retry);
        check_hedge(&mut report, &self.hedge);
        let zones = self.availability_zones.iter().collect();
        for (name, service) in &self.services {
            let field_path = FieldPath::of(["services", name.as_str()]);
            check_service(&mut report, &field_path, service, self);
            for (id, upstream) in &service.upstreams {
                check_upstream(&mut report, (name, id), upstream, &zones);
            }
        }
        check_addresses(&mut report, self);
        check_ambiguous_routes(&mut report, self);
        report.problems
    }
}

fn check_zones(report: &mut Report, zones: &[ZoneName]) {
    let field_path = FieldPath::of(["availability_zones"]);
    if zones.is_empty() {
        report.add(field_path.clone(), ProblemKind::NoZone, "list the site's availability zones");
    }
    let mut seen = FastSet::default();
    for (index, zone) in zones.iter().enumerate() {
        if !seen.insert(zone) {
            report.add(
                field_path.index(index),
                ProblemKind::DuplicateZone,
                "list each availability zone once",
            );
        }
    }
}

fn check_limits(report: &mut Report, limits: &HostLimits) {
    let field_path = FieldPath::of(["limits"]);
    report.require_nonzero(field_path.field("max_body_bytes"), limits.max_body_bytes.0);
    report.require_nonzero(field_path.field("max_calls"), limits.max_calls);
    report.require_nonzero(field_path.field("max_depth"), limits.max_depth);
    if limits.held_answer_bytes > MAX_HELD_ANSWER_BYTES {
        report.add(
            field_path.field("held_answer_bytes"),
            ProblemKind::AboveLimit,
            format!("hold at most {MAX_HELD_ANSWER_BYTES} bytes; larger answers stream"),
        );
    }
}

fn check_measurement(report: &mut Report, measurement: &MeasurementBudget) {
    let field_path = FieldPath::of(["measurement"]);
    report.require_rate(field_path.field("probes_per_second"), measurement.probes_per_second);
    report.require_nonzero(
        field_path.field("control_bytes_per_second"),
        measurement.control_bytes_per_second.0,
    );
}

fn check_retry(report: &mut Report, retry: &RetrySettings) {
    let field_path = FieldPath::of(["retry"]);
    report.require_nonzero(field_path.field("max_attempts"), retry.max_attempts);
    report.require_share(field_path.field("budget_share"), retry.budget_share);
}

fn check_hedge(report: &mut Report, hedge: &HedgeSettings) {
    let field_path = FieldPath::of(["hedge"]);
    report.require_share(field_path.field("budget_share"), hedge.budget_share);
    report.require_share(field_path.field("after_quantile"), hedge.after_quantile);
}

fn check_service(
    report: &mut Report,
    field_path: &FieldPath,
    service: &Service,
    site: &SiteConfig,
) {
    if service.routes.is_empty() {
        let remedy = "add a route, or remove the service";
        report.add(field_path.field("routes"), ProblemKind::NoRoute, remedy);
    }
    if service.upstreams.is_empty() {
        let remedy = "add an upstream, or remove the service";
        report.add(field_path.field("upstreams"), ProblemKind::NoUpstream, remedy);
    }
    for (index, route) in service.routes.iter().enumerate() {
        check_prefix(report, field_path.field("routes").index(index), route);
    }
    report.require_nonzero(field_path.field("deadline_ms"), service.deadline_ms.0);
    report.require_share(field_path.field("eject_floor_share"), service.eject_floor_share);
    check_service_probes(report, field_path.field("probes_per_second"), service, site);
}

fn check_service_probes(
    report: &mut Report,
    field_path: FieldPath,
    service: &Service,
    site: &SiteConfig,
) {
    let site_rate = site.measurement.probes_per_second;
    report.require_rate(field_path.clone(), service.probes_per_second);
    if service.probes_per_second > site_rate {
        report.add_with_value(
            field_path,
            ProblemKind::ProbesAboveBudget,
            service.probes_per_second,
            format!("stay within measurement.probes_per_second, {site_rate}, or raise that"),
        );
    }
}

fn check_prefix(report: &mut Report, field_path: FieldPath, route: &Route) {
    let prefix = route.path_prefix.as_str();
    let remedy = match RouteTable::normal_prefix(prefix) {
        _ if !prefix.starts_with('/') => "begin it with '/'",
        _ if prefix.contains(['?', '#', '\\']) => "leave out '?', '#' and '\\': it is a path only",
        _ if !prefix.chars().all(|c| c.is_ascii_graphic()) => {
            "use printable ASCII, and letters beyond it percent-encoded as UTF-8"
        }
        Some(normal) if path::has_dot_segment(&normal) => "leave out '.' and '..' segments",
        Some(_) => return,
        None => {
            "leave out empty segments ('//'), ';' and percent-encoded ASCII: upstreams read them \
             in several ways"
        }
    };
    report.add(field_path.field("path_prefix"), ProblemKind::BadPathPrefix, remedy);
}

fn check_upstream(
    report: &mut Report,
    (service, id): (&ServiceName, &UpstreamId),
    upstream: &Upstream,
    zones: &FastSet<&ZoneName>,
) {
    // A closure, as paths are needed only for problems and there are thousands of upstreams.
    let path_of = |field| upstream_path(service, id).field(field);
    if upstream.slots.0 == 0 {
        let remedy = "give it at least 1 slot, or set \"leaving\": true to keep work away";
        report.add(path_of("slots"), ProblemKind::Zero, remedy);
    }
    match upstream.connections {
        connections if connections.0 == 0 => {
            let remedy = "state how many connections it accepts, at least its slots";
            report.add(path_of("connections"), ProblemKind::Zero, remedy);
        }
        connections if connections.0 < upstream.slots.0 => report.add_with_value(
            path_of("connections"),
            ProblemKind::FewerConnectionsThanSlots,
            connections,
            format!("each slot needs a connection: state at least {}", upstream.slots),
        ),
        _ => {}
    }
    if !zones.contains(&upstream.availability_zone) {
        report.add_with_value(
            path_of("availability_zone"),
            ProblemKind::UnknownZone,
            &upstream.availability_zone,
            "use one of availability_zones, or list it there",
        );
    }
    if upstream.address.port() == 0 || upstream.address.ip().is_unspecified() {
        let remedy = "state the IP address and port that it listens on";
        report.add(path_of("address"), ProblemKind::UnusableAddress, remedy);
    }
}

fn check_addresses(report: &mut Report, site: &SiteConfig) {
    let mut owners: FastMap<SocketAddr, (&ServiceName, &UpstreamId)> = FastMap::default();
    for (name, service) in &site.services {
        for (id, upstream) in &service.upstreams {
            let Some((other_name, other_id)) = owners.insert(upstream.address, (name, id)) else {
                continue;
            };
            report.add_with_value(
                upstream_path(name, id).field("address"),
                ProblemKind::DuplicateAddress,
                upstream.address,
                format!(
                    "{} has it too: slots are counted per address, give each its own",
                    upstream_path(other_name, other_id),
                ),
            );
        }
    }
}

fn upstream_path(service: &ServiceName, upstream: &UpstreamId) -> FieldPath {
    FieldPath::of(["services", service.as_str(), "upstreams", upstream.as_str()])
}

fn check_ambiguous_routes(report: &mut Report, site: &SiteConfig) {
    let mut owners = FastMap::default();
    for (name, service) in &site.services {
        for (index, route) in service.routes.iter().enumerate() {
            let Some(prefix) = RouteTable::normal_prefix(&route.path_prefix) else { continue };
            let key = (prefix, route.method.as_str());
            match owners.get(&key) {
                Some(&(owner, owner_index)) => report.add_with_value(
                    route_path(name, index),
                    ProblemKind::AmbiguousRoute,
                    route,
                    format!(
                        "{} has the same method and path prefix: keep one of them",
                        route_path(owner, owner_index),
                    ),
                ),
                None => drop(owners.insert(key, (name, index))),
            }
        }
    }
}

fn route_path(service: &ServiceName, index: usize) -> FieldPath {
    FieldPath::of(["services", service.as_str(), "routes"]).index(index)
}

/// Collects the problems found so far.
#[derive(Debug, Default)]
struct Report {
    problems: Vec<Problem>,
}

impl Report {
    fn add(&mut self, field: FieldPath, kind: ProblemKind, remedy: impl Into<String>) {
        self.add_with_value(field, kind, Value::Null, remedy);
    }

    fn add_with_value(
        &mut self,
        field: FieldPath,
        kind: ProblemKind,
        value: impl Serialize,
        remedy: impl Into<String>,
    ) {
        if self.problems.len() >= MAX_PROBLEMS {
            return;
        }
        let value = serde_json::to_value(value).ok().filter(|value| !value.is_null());
        let remedy = remedy.into();
        self.problems.push(Problem { source: Source::Merged, field, kind, value, remedy });
    }

    fn require_nonzero(&mut self, field: FieldPath, value: impl Into<u64>) {
        if value.into() == 0 {
            self.add_with_value(field, ProblemKind::Zero, 0, "state at least 1");
        }
    }

    fn require_share(&mut self, field: FieldPath, share: Share) {
        if !(0.0..=1.0).contains(&share.0) {
            let remedy = "state a share between 0 and 1, such as 0.1 for a tenth";
            self.add_with_value(field, ProblemKind::ShareOutOfRange, share, remedy);
        }
    }

    fn require_rate(&mut self, field: FieldPath, rate: PerSecond) {
        if !rate.0.is_finite() || rate.0 < 0.0 {
            let remedy = "state a rate of 0 or more a second";
            self.add_with_value(field, ProblemKind::BadRate, rate, remedy);
        }
    }
}
