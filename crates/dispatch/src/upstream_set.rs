//! All upstreams, by service.

use crate::LoadReport;
use crate::choice::{Candidate, weigh};
use crate::service_load::ServiceLoad;
use crate::subset::{FleetShape, Subset};
use crate::upstream::Known;
use domain::{FastMap, HostId, Millis, ServiceName, UpstreamId, ZoneName};
use published::{Entry, Upstream, UpstreamMode};
use rand::RngExt;
use rand_pcg::Pcg64Mcg;
use std::sync::Arc;

/// Part of the cost by which the order of candidates is shaken, so that hosts
/// that know the same don't all ask the same.
const SHAKE: f64 = 0.5;

/// Weight of one answer in the usual working time of a service: some twenty answers count.
const USUAL_WEIGHT: f64 = 0.05;

/// Answers that were expected to take longer than this tell little of the usual time.
const MOST_WORK_LEARNED: f64 = 1.6;

/// Which upstreams come first when some are to be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Those of the host's own availability zone.
    Near,
    /// Those of other zones: the own zone had no good offer.
    Far,
}

/// Least and most by which one answer of a busy or slow upstream may have taken longer than
/// expected, for what is learned of it. Without learning it himal's days were worth 0.008 less.
const STRETCH: (f64, f64) = (0.5, 4.0);

/// What is known of all upstreams.
#[derive(Debug)]
pub struct UpstreamSet {
    host: HostId,
    zone: ZoneName,
    known: FastMap<UpstreamId, Known>,
    services: FastMap<ServiceName, Vec<UpstreamId>>,
    subsets: FastMap<ServiceName, Subset>,
    usual_ms: FastMap<ServiceName, f64>,
    loads: FastMap<ServiceName, ServiceLoad>,
    /// How much longer than expected busy or slow upstreams take.
    stretch: FastMap<ServiceName, f64>,
}

impl UpstreamSet {
    /// None yet, seen from a host in an availability zone.
    pub fn new(host: HostId, zone: ZoneName) -> UpstreamSet {
        UpstreamSet {
            host,
            zone,
            subsets: FastMap::default(),
            known: FastMap::default(),
            services: FastMap::default(),
            usual_ms: FastMap::default(),
            loads: FastMap::default(),
            stretch: FastMap::default(),
        }
    }

    /// Takes the published entries: new ones join, missing ones go, the rest keeps what is known.
    pub fn sync<'e>(
        &mut self,
        now_ms: Millis,
        entries: impl Iterator<Item = &'e Entry<Arc<Upstream>>>,
    ) {
        let mut former = std::mem::take(&mut self.known);
        self.services.clear();
        for entry in entries {
            let id = entry.value.id.clone();
            let mut known =
                former.remove(&id).unwrap_or_else(|| Known::new(Arc::clone(&entry.value), now_ms));
            known.entry = Arc::clone(&entry.value);
            let service = self.services.entry(entry.value.service.clone()).or_default();
            service.push(id.clone());
            self.known.insert(id, known);
        }
        let choose = |(service, upstreams): (&ServiceName, &Vec<UpstreamId>)| {
            (service.clone(), Subset::choose(&self.host, &self.zone, upstreams, &self.known))
        };
        self.subsets = self.services.iter().map(choose).collect();
    }

    /// About how many hosts share the health checks of an upstream.
    pub fn sharing_hosts(&self, service: &ServiceName, id: &UpstreamId, fleet: FleetShape) -> f64 {
        let subset = self.subsets.get(service);
        subset.map_or(f64::from(fleet.hosts), |subset| subset.sharing_hosts(id, fleet))
    }

    /// One upstream.
    pub fn get(&self, id: &UpstreamId) -> Option<&Known> {
        self.known.get(id)
    }

    /// One upstream, to note what it did.
    pub fn get_mut(&mut self, id: &UpstreamId) -> Option<&mut Known> {
        self.known.get_mut(id)
    }

    /// Whether requests may be sent to it.
    pub fn takes_work(&self, id: &UpstreamId) -> bool {
        self.known.get(id).is_some_and(|known| known.entry.mode == UpstreamMode::Ready)
    }

    /// Whether it stands in another availability zone.
    pub fn is_other_zone(&self, id: &UpstreamId) -> bool {
        self.known.get(id).is_some_and(|known| known.entry.availability_zone != self.zone)
    }

    /// How many upstreams of a service take work.
    pub fn count(&self, service: &ServiceName) -> usize {
        let upstreams = self.services.get(service).map_or(&[][..], Vec::as_slice);
        upstreams.iter().filter(|id| self.takes_work(id)).count()
    }

    /// What a request would cost at an upstream now.
    pub fn weigh(&self, now_ms: Millis, id: &UpstreamId) -> Option<Candidate> {
        let known = self.known.get(id)?;
        let load = self.load(&known.entry.service);
        Some(weigh(id, known, load, now_ms, self.is_other_zone(id)))
    }

    /// An upstream told its load.
    pub fn note_report(&mut self, now_ms: Millis, id: &UpstreamId, report: LoadReport) {
        let Some(known) = self.known.get_mut(id) else { return };
        known.note_report(now_ms, report);
        self.loads.entry(known.entry.service.clone()).or_default().note(&report);
    }

    /// How loaded the upstreams of a service are.
    pub fn load(&self, service: &ServiceName) -> ServiceLoad {
        self.loads.get(service).copied().unwrap_or_default()
    }

    /// An answer took so long where so much work was expected.
    pub fn note_duration(&mut self, service: &ServiceName, took_ms: Millis, work: f64) {
        if work > MOST_WORK_LEARNED {
            self.note_stretch(service, took_ms, work);
            return;
        }
        let told_ms = took_ms.as_f64() / work.max(1.0);
        let usual_ms = self.usual_ms.entry(service.clone()).or_insert(told_ms);
        *usual_ms += (told_ms - *usual_ms) * USUAL_WEIGHT;
    }

    fn note_stretch(&mut self, service: &ServiceName, took_ms: Millis, work: f64) {
        let Some(expected_ms) = self.unstretched_ms(service, work) else { return };
        let ratio = took_ms.as_f64() / expected_ms.max(1.0);
        let stretch = self.stretch.entry(service.clone()).or_insert(1.0);
        *stretch += (ratio.clamp(STRETCH.0, STRETCH.1) - *stretch) * USUAL_WEIGHT;
    }

    /// How long so much work is expected to take; none before anything was learned.
    pub fn expected_ms(&self, service: &ServiceName, work: f64) -> Option<Millis> {
        let stretch = match work > MOST_WORK_LEARNED {
            true => self.stretch.get(service).copied().unwrap_or(1.0),
            false => 1.0,
        };
        self.unstretched_ms(service, work).map(|ms| Millis((ms * stretch) as u64))
    }

    fn unstretched_ms(&self, service: &ServiceName, work: f64) -> Option<f64> {
        self.usual_ms.get(service).map(|usual_ms| usual_ms * work)
    }

    /// Whom to ask next: the best by what is remembered, the host's subset and the wanted
    /// availability zones first.
    ///
    /// Those in `excluded` are left out, and those that are left alone, as long as any other is there.
    pub fn to_ask(
        &self,
        now_ms: Millis,
        service: &ServiceName,
        excluded: &[UpstreamId],
        (most, reach): (usize, Reach),
        rng: &mut Pcg64Mcg,
    ) -> Vec<UpstreamId> {
        let upstreams = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let eligible = upstreams
            .iter()
            .filter(|id| self.takes_work(id) && !excluded.contains(id))
            .filter_map(|id| self.known.get(id).map(|known| (id, known)));
        let load = self.load(service);
        let subset = self.subsets.get(service);
        let is_outside = |id: &UpstreamId| subset.is_some_and(|subset| !subset.contains(id));
        let mut ranked: Vec<((bool, bool, bool), f64, &UpstreamId)> = eligible
            .map(|(id, known)| {
                let cost = weigh(id, known, load, now_ms, false).cost;
                let shaken = cost * (1.0 + SHAKE * rng.random::<f64>());
                let is_avoided = known.is_avoided(now_ms);
                let is_unwanted = self.is_other_zone(id) != (reach == Reach::Far);
                ((is_avoided, is_outside(id), is_unwanted), shaken, id)
            })
            .collect();
        ranked.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        let has_any = ranked.first().is_some_and(|first| !first.0.0);
        let wanted = ranked.into_iter().filter(|((avoided, ..), ..)| !avoided || !has_any);
        wanted.take(most).map(|(.., id)| id.clone()).collect()
    }
}
