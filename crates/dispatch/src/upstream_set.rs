//! All upstreams that a host knows, by service.
//!
//! [`limits`] decides what each of them may be sent, [`probe_targets`] which of them the host
//! probes.

mod limits;
mod probe_targets;

pub use probe_targets::ZoneScope;

use crate::LoadReport;
use crate::backpressure::BackpressureSet;
use crate::cold::Warmth;
use crate::cost::{Candidate, CostInputs, estimate_cost};
use crate::curve::SpeedCurve;
use crate::route_times::{RouteKey, RouteTime};
use crate::service::{Service, ServiceTimeSample};
use crate::service_load::ServiceLoad;
use crate::subset::{FleetSize, Subset};
use crate::upstream::UpstreamState;
use domain::{FastMap, HostId, Millis, ServiceName, UpstreamId, ZoneName};
use limits::eligibility;
use published::{Eligibility, Entry, Evacuations, RunStart, ServiceSettings, Upstream};
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// State of all upstreams, seen from one host.
#[derive(Debug)]
pub struct UpstreamSet {
    host: HostId,
    zone: ZoneName,
    states: FastMap<UpstreamId, UpstreamState>,
    services: FastMap<ServiceName, Service>,
    backpressure: BackpressureSet,
    /// When the first upstream became known.
    first_known_ms: Option<Millis>,
}

impl UpstreamSet {
    /// An empty set, seen from a host in an availability zone.
    pub fn new(host: HostId, zone: ZoneName) -> UpstreamSet {
        let (states, services) = (FastMap::default(), FastMap::default());
        let backpressure = BackpressureSet::default();
        UpstreamSet { host, zone, states, services, backpressure, first_known_ms: None }
    }

    /// Applies the published entries: adds new upstreams, removes missing ones, keeps the state of
    /// the others.
    ///
    /// The state of an upstream that restarted is dropped: it is cold, and has no requests in
    /// flight.
    pub fn sync<'e>(
        &mut self,
        now_ms: Millis,
        entries: impl Iterator<Item = &'e Entry<Arc<Upstream>>>,
        evacuations: &Evacuations,
    ) {
        let mut former = std::mem::take(&mut self.states);
        for service in self.services.values_mut() {
            service.upstreams.clear();
        }
        for entry in entries {
            let id = entry.value.id.clone();
            let same_run = former.remove(&id).filter(|state| state.is_of_run(entry.value.run));
            let mut state = same_run.unwrap_or_else(|| UpstreamState::new(entry, now_ms));
            let published = entry.value.eligibility(evacuations);
            state.apply_entry(now_ms, entry, eligibility(published, &state, &self.backpressure));
            let service = self.services.entry(entry.value.service.clone()).or_default();
            service.upstreams.push(id.clone());
            service.ensure_curve(entry.value.slots);
            self.states.insert(id, state);
        }
        if !self.states.is_empty() {
            self.first_known_ms.get_or_insert(now_ms);
        }
        for service in self.services.values_mut() {
            service.subset =
                Subset::choose(&self.host, &self.zone, &service.upstreams, &self.states);
        }
    }

    /// About how many hosts probe an upstream, sharing its health checks.
    pub fn probing_hosts(&self, service: &ServiceName, id: &UpstreamId, fleet: FleetSize) -> f64 {
        let service = self.services.get(service);
        service.map_or(f64::from(fleet.hosts), |service| service.subset.probing_hosts(id, fleet))
    }

    /// About how many hosts of this availability zone probe an upstream of the zone, sharing its
    /// health checks.
    pub fn probing_hosts_in_zone(&self, service: &ServiceName, fleet: FleetSize) -> f64 {
        let service = self.services.get(service);
        let hosts_in_zone = f64::from(fleet.hosts_in_zone);
        service.map_or(hosts_in_zone, |service| service.subset.probing_hosts_in_zone(fleet))
    }

    /// The state of an upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&UpstreamState> {
        self.states.get(id)
    }

    /// Mutable state of an upstream.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut UpstreamState> {
        self.states.get_mut(id)
    }

    /// The current process run of an upstream, by its entry.
    pub fn current_run(&self, id: &UpstreamId) -> RunStart {
        self.states.get(id).map(|state| state.entry.run).unwrap_or_default()
    }

    /// Whether an upstream restarted since process run `run`.
    pub fn has_restarted(&self, id: &UpstreamId, run: RunStart) -> bool {
        self.current_run(id).is_after(run)
    }

    /// Mutable state of an upstream, to record the result of something started during its process
    /// run `run`; none if that run has ended.
    pub fn get_run_mut(&mut self, id: &UpstreamId, run: RunStart) -> Option<&mut UpstreamState> {
        self.states.get_mut(id).filter(|state| state.is_of_run(run))
    }

    /// Whether new requests may be sent to an upstream; none if it is unknown.
    pub fn eligibility(&self, id: &UpstreamId) -> Option<Eligibility> {
        self.states.get(id).map(|state| state.eligibility)
    }

    /// Whether new requests may be sent to an upstream.
    pub fn accepts_requests(&self, id: &UpstreamId) -> bool {
        self.eligibility(id) == Some(Eligibility::Eligible)
    }

    /// Records how much longer process run `run` of an upstream stays cold, by a health check's
    /// response. Where the service has a rate limit for cold upstreams, a response without a time
    /// means that it is warm.
    pub fn record_warmup_left(
        &mut self,
        now_ms: Millis,
        (id, run): (&UpstreamId, RunStart),
        left_ms: Option<Millis>,
    ) {
        let Some(state) = self.states.get_mut(id).filter(|state| state.is_of_run(run)) else {
            return;
        };
        let service = self.services.get(&state.entry.service);
        let has_cold_rate = service.is_some_and(|service| service.cold_rate.is_some());
        state.record_warmup_left(now_ms, left_ms.or(has_cold_rate.then_some(Millis::ZERO)));
    }

    /// Number of upstreams that are cold, or may be.
    pub fn count_cold(&self, now_ms: Millis) -> usize {
        self.states.values().filter(|state| state.warmth(now_ms) != Warmth::Warm).count()
    }

    /// Number of upstreams that are left out for a while, as they could not be reached.
    pub fn count_excluded(&self, now_ms: Millis) -> usize {
        self.states.values().filter(|state| state.is_excluded(now_ms)).count()
    }

    /// Applies the rate limits for cold upstreams from the routing.
    pub fn set_cold_rates<'s>(&mut self, services: impl Iterator<Item = &'s ServiceSettings>) {
        for service in self.services.values_mut() {
            service.cold_rate = None;
        }
        for settings in services {
            let service = self.services.entry(settings.name.clone()).or_default();
            service.cold_rate = settings.cold_rate;
        }
    }

    /// Whether a service has no eligible upstream, but has one in an evacuated availability zone.
    pub fn is_evacuated(&self, service: &ServiceName) -> bool {
        let is = |id: &UpstreamId| self.eligibility(id) == Some(Eligibility::ZoneEvacuated);
        self.count_eligible(service) == 0 && self.of_service(service).iter().any(is)
    }

    /// Whether an upstream is in another availability zone than this host.
    pub fn is_in_other_zone(&self, id: &UpstreamId) -> bool {
        self.states.get(id).is_some_and(|state| state.entry.availability_zone != self.zone)
    }

    /// The upstreams of a service, leaving ones included.
    pub fn of_service(&self, service: &ServiceName) -> &[UpstreamId] {
        self.services.get(service).map_or(&[][..], |service| &service.upstreams)
    }

    /// The entries of all eligible upstreams.
    pub fn eligible(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        let eligible =
            self.states.values().filter(|state| state.eligibility == Eligibility::Eligible);
        eligible.map(|state| &state.entry)
    }

    /// Whether a service has an eligible upstream in an availability zone.
    pub fn accepts_requests_in(&self, service: &ServiceName, zone: &ZoneName) -> bool {
        self.eligible_zones(service).any(|eligible| eligible == zone)
    }

    /// The availability zone of each eligible upstream of a service.
    fn eligible_zones(&self, service: &ServiceName) -> impl Iterator<Item = &ZoneName> {
        let eligible = self.of_service(service).iter().filter(|id| self.accepts_requests(id));
        eligible.filter_map(|id| self.states.get(id)).map(|state| &state.entry.availability_zone)
    }

    /// Draws another availability zone with eligible upstreams of a service, weighted by their
    /// number; none if there is none.
    pub fn draw_other_zone(
        &self,
        service: &ServiceName,
        zone: &ZoneName,
        rng: &mut Pcg64Mcg,
    ) -> Option<ZoneName> {
        let others: Vec<&ZoneName> =
            self.eligible_zones(service).filter(|other| *other != zone).collect();
        others.choose(rng).map(|&other| other.clone())
    }

    /// Number of eligible upstreams of a service.
    pub fn count_eligible(&self, service: &ServiceName) -> usize {
        self.of_service(service).iter().filter(|id| self.accepts_requests(id)).count()
    }

    /// The estimated cost of a request of this host at an upstream.
    pub fn estimate_cost(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        route: RouteKey,
    ) -> Option<Candidate> {
        self.estimate_cost_from(now_ms, id, &self.zone, Some(route))
    }

    /// The estimated cost of a request of a host in availability zone `zone` at an upstream.
    /// Without a route, it is that of the service's mean request.
    pub fn estimate_cost_from(
        &self,
        now_ms: Millis,
        id: &UpstreamId,
        zone: &ZoneName,
        route: Option<RouteKey>,
    ) -> Option<Candidate> {
        let state = self.states.get(id)?;
        let service = self.services.get(&state.entry.service)?;
        let is_other_zone = state.entry.availability_zone != *zone;
        let (load, curve) = (service.load, service.curve(state.entry.slots)?);
        let mean_to_route_ratio = route.map_or(1.0, |route| service.mean_to_route_ratio(route));
        let inputs = CostInputs { load, curve, now_ms, is_other_zone, mean_to_route_ratio };
        Some(estimate_cost(state, inputs))
    }

    /// How an upstream slows down as its slots fill.
    pub fn curve(&self, id: &UpstreamId) -> Option<&SpeedCurve> {
        let state = self.states.get(id)?;
        self.services.get(&state.entry.service)?.curve(state.entry.slots)
    }

    /// Records the load that process run `run` of an upstream reported.
    pub fn record_report(
        &mut self,
        now_ms: Millis,
        (id, run): (&UpstreamId, RunStart),
        report: LoadReport,
    ) {
        let Some(state) = self.states.get_mut(id).filter(|state| state.is_of_run(run)) else {
            return;
        };
        state.record_report(now_ms, report);
        if let Some(service) = self.services.get_mut(&state.entry.service) {
            service.record_report(&report, state.in_flight());
        }
    }

    /// The mean load of a service's upstreams.
    pub fn load(&self, service: &ServiceName) -> ServiceLoad {
        self.services.get(service).map_or_else(ServiceLoad::default, |service| service.load)
    }

    /// Records that a response took `took_ms`, where `work` service times of its route were
    /// expected.
    pub fn record_duration(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        took_ms: Millis,
        work: f64,
    ) {
        if let Some(service) = self.services.get_mut(service) {
            service.record_duration(route, took_ms, work);
        }
    }

    /// Records how long a request ran on an upstream, and beside how many others.
    pub fn record_service_time(&mut self, id: &UpstreamId, sample: &ServiceTimeSample) {
        let Some(state) = self.states.get(id) else { return };
        if let Some(service) = self.services.get_mut(&state.entry.service) {
            service.record_service_time(state.entry.slots, sample);
        }
    }

    /// Records that a response took `took_ms`, where `work` service times of its route were
    /// expected. Ignored unless `work` shows that the upstream was busy or slow.
    pub fn record_overrun(
        &mut self,
        service: &ServiceName,
        route: RouteKey,
        took_ms: Millis,
        work: f64,
    ) {
        if let Some(service) = self.services.get_mut(service) {
            service.record_overrun(route, took_ms, work);
        }
    }

    /// The expected duration of `work` service times of a route; none before anything was recorded.
    pub fn expected_ms(&self, service: &ServiceName, route: RouteKey, work: f64) -> Option<Millis> {
        self.services.get(service).and_then(|service| service.expected_ms(route, work))
    }

    /// The mean service time of a service's requests; none before anything was recorded.
    pub fn mean_service_time_ms(&self, service: &ServiceName) -> Option<Millis> {
        self.services.get(service).and_then(Service::mean_ms)
    }

    /// What this host learned of a route's service time, for a scheduler. None as long as the
    /// service is known to have one route only.
    pub fn route_time(&self, service: &ServiceName, route: RouteKey) -> Option<RouteTime> {
        self.services.get(service).and_then(|service| service.route_time(route))
    }

    /// Takes over a route's service time from a host that learned more of it.
    pub fn adopt_route_time(&mut self, service: &ServiceName, route: RouteKey, time: RouteTime) {
        if let Some(service) = self.services.get_mut(service) {
            service.adopt_route_time(route, time);
        }
    }

    /// Drops the service times of routes that no longer exist.
    pub fn retain_routes(&mut self, is_known: impl Fn(RouteKey) -> bool) {
        for service in self.services.values_mut() {
            service.retain_routes(&is_known);
        }
    }
}
