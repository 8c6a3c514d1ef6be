//! Split routes: each part gets its share of the requests.
//!
//! Smooth weighted round robin keeps shares exact over short times. It starts at a random
//! place, so that many hosts with few requests each don't all begin with the same part.

use domain::{FastMap, ServiceName};
use published::Destination;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Where each split route stands.
#[derive(Debug, Default)]
pub struct SplitTable {
    routes: FastMap<String, Turn>,
}

#[derive(Debug)]
struct Turn {
    split: Vec<Destination>,
    credit: Vec<f64>,
}

impl SplitTable {
    /// The service of a route's next request; none if the split is empty.
    pub fn next_service(
        &mut self,
        route: &str,
        split: &[Destination],
        rng: &mut Pcg64Mcg,
    ) -> Option<ServiceName> {
        if let [only] = split {
            return Some(only.service.clone());
        }
        if !self.routes.get(route).is_some_and(|turn| turn.split == split) {
            self.routes.insert(route.to_owned(), Turn::new(split, rng));
        }
        self.routes.get_mut(route)?.take()
    }

    /// Forgets routes that are not in force any more.
    pub fn retain(&mut self, is_in_force: impl Fn(&str) -> bool) {
        self.routes.retain(|route, _| is_in_force(route));
    }
}

impl Turn {
    fn new(split: &[Destination], rng: &mut Pcg64Mcg) -> Turn {
        let weights: f64 = split.iter().map(|part| f64::from(part.weight)).sum();
        let credit = split.iter().map(|_| rng.random::<f64>() * weights).collect();
        Turn { split: split.to_vec(), credit }
    }

    fn take(&mut self) -> Option<ServiceName> {
        let weights: f64 = self.split.iter().map(|part| f64::from(part.weight)).sum();
        for (credit, part) in self.credit.iter_mut().zip(&self.split) {
            *credit += f64::from(part.weight);
        }
        let has_weight = |&at: &usize| self.split[at].weight > 0;
        let at = (0..self.split.len())
            .filter(has_weight)
            .max_by(|&a, &b| self.credit[a].total_cmp(&self.credit[b]))?;
        self.credit[at] -= weights;
        Some(self.split[at].service.clone())
    }
}
