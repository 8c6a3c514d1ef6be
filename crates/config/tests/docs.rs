//! `docs/configuration.md` lists every field with its default.
#![allow(clippy::unwrap_used)]

use serde_json::Value;
use std::fs;
use std::path::Path;

/// Sets only the required fields.
const REQUIRED: &str = r#"{
    "availability_zones": ["z"],
    "services": {"s": {
        "routes": [{"path_prefix": "/", "repeat": "idempotent"}],
        "upstreams": {"u": {"address": "192.0.2.1:1", "availability_zone": "z",
            "slots": 1, "connections": 1}}
    }}
}"#;

/// Collects the leaves of a document under the field names that the page uses.
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

/// Field and default of each table row of the page that begins with a field.
fn documented_fields() -> Vec<(String, String)> {
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
fn page_lists_every_field_with_its_default() {
    let mut required = Vec::new();
    leaves("", &serde_json::from_str(REQUIRED).unwrap(), &mut required);
    let mut expected = Vec::new();
    let config = config::merge(REQUIRED, None).unwrap();
    leaves("", &serde_json::to_value(config).unwrap(), &mut expected);
    let mut expected: Vec<(String, String)> = expected
        .into_iter()
        .map(|(field, value)| {
            let is_required = required.iter().any(|(name, _)| *name == field);
            (field, if is_required { "needed".to_owned() } else { value.to_string() })
        })
        .collect();
    let mut documented = documented_fields();
    expected.sort();
    documented.sort();
    assert_eq!(documented, expected);
}
