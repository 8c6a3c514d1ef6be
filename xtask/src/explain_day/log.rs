//! Lines of our logs, as the player prints them: time, host, event.

use domain::{FastMap, Millis};
use serde_json::Value;

/// One event.
#[derive(Debug, Clone)]
pub(super) struct Line {
    pub(super) at_ms: Millis,
    pub(super) event: String,
    fields: Value,
}

/// All events of one host, in order.
#[derive(Debug, Default)]
pub(super) struct HostLog {
    pub(super) lines: Vec<Line>,
}

impl Line {
    /// A number among its fields; none if it is missing or null.
    pub(super) fn number(&self, name: &str) -> Option<f64> {
        self.fields.get(name)?.as_f64()
    }

    pub(super) fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    pub(super) fn is(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool).unwrap_or(false)
    }
}

impl HostLog {
    /// The events from each start to the next.
    pub(super) fn runs(&self) -> impl Iterator<Item = &[Line]> {
        let is_start = |line: &Line| line.event == "started";
        let starts: Vec<usize> =
            (0..self.lines.len()).filter(|&at| is_start(&self.lines[at])).collect();
        let ends = starts.iter().skip(1).copied().chain([self.lines.len()]).collect::<Vec<_>>();
        starts.into_iter().zip(ends).map(|(start, end)| &self.lines[start..end])
    }
}

/// Reads what the player printed; what is no event is passed over, also lines that were cut.
pub(super) fn read(text: &str) -> Vec<HostLog> {
    let mut hosts: FastMap<String, HostLog> = FastMap::default();
    for line in text.lines() {
        let Some(at) = line.find('{') else { continue };
        let Ok(fields) = serde_json::from_str::<Value>(&line[at..]) else { continue };
        let of = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let at_ms = fields.get("at_ms").and_then(Value::as_u64).map(Millis);
        let (Some(host), Some(event), Some(at_ms)) = (of("host"), of("event"), at_ms) else {
            continue;
        };
        hosts.entry(host).or_default().lines.push(Line { at_ms, event, fields });
    }
    hosts.into_values().collect()
}
