//! The configuration page names every field with its default.
#![allow(clippy::unwrap_used)]

use serde_json::Value;
use std::fs;
use std::path::Path;

/// States only what is needed: everything else is a default.
const NEEDED: &str = r#"{
    "availability_zones": ["z"],
    "services": {"s": {
        "routes": [{"path_prefix": "/", "repeat": "idempotent"}],
        "upstreams": {"u": {"address": "192.0.2.1:1", "availability_zone": "z",
            "slots": 1, "connections": 1}}
    }}
}"#;

/// Leaves of a document, under the names that the page gives them.
fn leaves(path: &str, value: &Value, found: &mut Vec<(String, Value)>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let name = match path {
                    "services" => "<service>",
                    "services.<service>.upstreams" => "<upstream>",
                    _ => name,
                };
                let path = if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
                leaves(&path, value, found);
            }
        }
        Value::Array(items) if items.iter().all(Value::is_object) => {
            items.iter().for_each(|item| leaves(&format!("{path}[]"), item, found));
        }
        leaf => found.push((path.to_owned(), leaf.clone())),
    }
}

/// Rows of the page's tables that begin with a field.
fn documented() -> Vec<(String, String)> {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/configuration.md");
    let page = fs::read_to_string(page).unwrap();
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let cells = rows.map(|row| row.split(" | ").map(|cell| cell.trim_matches(['|', ' ', '`'])));
    cells
        .map(|mut cells| {
            let field = cells.next().unwrap().to_owned();
            let default = cells.nth(1).unwrap().to_owned();
            (field, default)
        })
        .collect()
}

#[test]
fn page_states_every_field_and_default() {
    let mut needed = Vec::new();
    leaves("", &serde_json::from_str(NEEDED).unwrap(), &mut needed);
    let mut expected = Vec::new();
    let config = config::merge(NEEDED, None).unwrap();
    leaves("", &serde_json::to_value(config).unwrap(), &mut expected);
    let mut expected: Vec<(String, String)> = expected
        .into_iter()
        .map(|(field, value)| {
            let is_needed = needed.iter().any(|(name, _)| *name == field);
            (field, if is_needed { "needed".to_owned() } else { value.to_string() })
        })
        .collect();
    let mut documented = documented();
    expected.sort();
    documented.sort();
    assert_eq!(documented, expected);
}
