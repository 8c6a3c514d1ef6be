//! A process's metrics, read from the Prometheus text format.

use std::collections::BTreeMap;

/// Sums of the samples of each metric, over all labels.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics {
    sums: BTreeMap<String, f64>,
}

impl Metrics {
    /// Reads the text; lines that are no samples are passed over.
    pub fn parse(text: &str) -> Metrics {
        let mut metrics = Metrics::default();
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            if let Some((name, value)) = parse_sample(line) {
                *metrics.sums.entry(name.to_owned()).or_default() += value;
            }
        }
        metrics
    }

    /// Sum over all labels; zero for a metric that is not there.
    pub fn sum(&self, name: &str) -> f64 {
        self.sums.get(name).copied().unwrap_or(0.0)
    }
}

fn parse_sample(line: &str) -> Option<(&str, f64)> {
    let name_end = line.find(['{', ' '])?;
    let after_labels = line.rfind('}').map_or(name_end, |end| end + 1);
    let value = line[after_labels..].split_whitespace().next()?;
    Some((&line[..name_end], value.parse().ok()?))
}
