//! Changed copies of a deployment's file.
//!
//! The file is changed as text, field by field, so that whatever else it holds stays.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;

/// How a field is drawn anew.
#[derive(Debug, Clone, Copy)]
enum Draw {
    /// One of some values, each time that the field stands in the file.
    OneOf(&'static [&'static str]),
    /// One of some values, the same throughout the file.
    SameOf(&'static [&'static str]),
    /// Between two bounds, the same throughout the file.
    Between(f64, f64),
}

const DRAWS: &[(&str, Draw)] = &[
    ("slots", Draw::OneOf(&["2", "3", "4", "6", "8"])),
    ("queue", Draw::OneOf(&["2", "4", "8", "24"])),
    ("conn_cap", Draw::OneOf(&["60", "120", "260"])),
    ("idle_close_ms", Draw::OneOf(&["1000", "2500", "5000", "10000", "30000"])),
    ("on_full", Draw::OneOf(&["\"reset\"", "\"shed\""])),
    ("load_header", Draw::OneOf(&["true", "true", "false"])),
    ("every_ms", Draw::OneOf(&["250.0", "500.0", "1500.0"])),
    ("link_mbps", Draw::OneOf(&["10.0", "100.0", "1000.0"])),
    ("cpu_share", Draw::SameOf(&["0.1", "0.2", "0.4"])),
    ("memory_mb", Draw::SameOf(&["64", "128", "260"])),
    ("handshake_ms", Draw::Between(0.5, 4.0)),
    ("in_zone_ms", Draw::Between(0.1, 0.6)),
    ("cross_zone_ms", Draw::Between(0.5, 4.0)),
    ("client_ms", Draw::Between(0.5, 15.0)),
];

/// A copy with fields drawn anew.
pub fn change(text: &str, rng: &mut Pcg64Mcg) -> String {
    let mut changed = text.to_owned();
    for (field, draw) in DRAWS {
        let same = match draw {
            Draw::OneOf(_) => None,
            Draw::SameOf(values) => values.choose(rng).map(|value| (*value).to_owned()),
            Draw::Between(low, high) => Some(format!("{:.1}", rng.random_range(*low..*high))),
        };
        changed = replace(&changed, field, |_| match (&same, draw) {
            (Some(value), _) => value.clone(),
            (None, Draw::OneOf(values)) => values.choose(rng).unwrap_or(&"").to_string(),
            (None, _) => String::new(),
        });
    }
    changed
}

/// The availability zones that a deployment names.
pub fn zones(text: &str) -> Vec<String> {
    let zones = text.lines().skip_while(|line| !line.starts_with("zones = ["));
    let names = zones.skip(1).take_while(|line| !line.starts_with(']'));
    names.filter_map(|line| line.split('"').nth(1).map(str::to_owned)).collect()
}

/// Replaces each value that is given to a field.
fn replace(text: &str, field: &str, mut value: impl FnMut(&str) -> String) -> String {
    let pattern = format!("{field} = ");
    let mut out = String::with_capacity(text.len());
    let mut rest = text;
    while let Some(at) = rest.find(&pattern) {
        let (before, found) = rest.split_at(at);
        out.push_str(before);
        out.push_str(&pattern);
        let found = &found[pattern.len()..];
        let end = found.find([',', ' ', '\n', '}']).unwrap_or(found.len());
        let is_whole_name = !before.ends_with(|c: char| c.is_alphanumeric() || c == '_');
        match is_whole_name {
            true => out.push_str(&value(&found[..end])),
            false => out.push_str(&found[..end]),
        }
        rest = &found[end..];
    }
    out.push_str(rest);
    out
}
