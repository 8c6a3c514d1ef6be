//! A process's metrics, read from the Prometheus text format.

/// Samples of a process.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Metrics {
    samples: Vec<Sample>,
}

#[derive(Debug, Clone, PartialEq)]
struct Sample {
    name: String,
    labels: String,
    value: f64,
}

impl Metrics {
    /// Reads the text; lines that are no samples are passed over.
    pub fn parse(text: &str) -> Metrics {
        let lines = text.lines().filter(|line| !line.starts_with('#'));
        Metrics { samples: lines.filter_map(Sample::parse).collect() }
    }

    /// Sum over all labels; zero for a metric that is not there.
    pub fn sum(&self, name: &str) -> f64 {
        self.samples.iter().filter(|s| s.name == name).map(|s| s.value).sum()
    }

    /// Sum over the samples whose label has this value.
    pub fn sum_where(&self, name: &str, label: &str, value: &str) -> f64 {
        let wanted = format!("{label}=\"{value}\"");
        let has_label = |s: &&Sample| s.labels.split(',').any(|pair| pair == wanted);
        self.samples.iter().filter(|s| s.name == name).filter(has_label).map(|s| s.value).sum()
    }
}

impl Sample {
    fn parse(line: &str) -> Option<Sample> {
        let name_end = line.find(['{', ' '])?;
        let (labels, rest) = match line[name_end..].strip_prefix('{') {
            Some(labelled) => labelled.rsplit_once('}')?,
            None => ("", &line[name_end..]),
        };
        let value = rest.split_whitespace().next()?.parse().ok()?;
        Some(Sample { name: line[..name_end].to_owned(), labels: labels.to_owned(), value })
    }
}
