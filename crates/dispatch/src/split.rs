//! Distributes the requests of split routes by weight.
//!
//! Smooth weighted round robin keeps the shares exact over short periods. It starts at a random
//! position, so that many hosts with few requests each don't all begin with the same destination.

use domain::{FastMap, ServiceName};
use published::Destination;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Round-robin state of each split route.
#[derive(Debug, Default)]
pub struct SplitTable {
    routes: FastMap<String, SplitState>,
}

#[derive(Debug)]
struct SplitState {
    split: Vec<Destination>,
    credit: Vec<f64>,
}

impl SplitTable {
    /// Service for a route's next request; `None` if the split is empty.
    pub fn next_service(
        &mut self,
        route: &str,
        split: &[Destination],
        rng: &mut Pcg64Mcg,
    ) -> Option<ServiceName> {
        if let [only] = split {
            return Some(only.service.clone());
        }
        if !self.routes.get(route).is_some_and(|state| state.split == split) {
            self.routes.insert(route.to_owned(), SplitState::new(split, rng));
        }
        self.routes.get_mut(route)?.pick()
    }

    /// Drops the state of routes that are no longer in force.
    pub fn retain(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_in_force(route));
    }
}

impl SplitState {
    fn new(split: &[Destination], rng: &mut Pcg64Mcg) -> SplitState {
        let weights: f64 = split.iter().map(|part| f64::from(part.weight)).sum();
        let credit = split.iter().map(|_| rng.random::<f64>() * weights).collect();
        SplitState { split: split.to_vec(), credit }
    }

    fn pick(&mut self) -> Option<ServiceName> {
        let weights: f64 = self.split.iter().map(|part| f64::from(part.weight)).sum();
        for (credit, part) in self.credit.iter_mut().zip(&self.split) {
            *credit += f64::from(part.weight);
        }
        let has_weight = |&index: &usize| self.split[index].weight > 0;
        let index = (0..self.split.len())
            .filter(has_weight)
            .max_by(|&a, &b| self.credit[a].total_cmp(&self.credit[b]))?;
        self.credit[index] -= weights;
        Some(self.split[index].service.clone())
    }
}
