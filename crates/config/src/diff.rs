//! Differences between two configurations.
//!
//! Both are compared as JSON, field by field, so that new fields of the model are compared
//! without a change here.

use crate::field_path::FieldPath;
use crate::model::{SiteConfig, Upstream};
use domain::{ServiceName, UpstreamId};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// One difference between two configurations.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// A field outside the services differs.
    SettingChanged {
        /// The field and its values.
        #[serde(flatten)]
        field: FieldChange,
    },
    /// Only the second configuration has the service.
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// Only the first configuration has the service.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// A field of a service differs.
    ServiceChanged {
        /// The service.
        service: ServiceName,
        /// The field, with its path from the service.
        #[serde(flatten)]
        field: FieldChange,
    },
    /// Only the second configuration has the upstream.
    UpstreamAdded {
        /// Its service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Only the first configuration has the upstream.
    UpstreamRemoved {
        /// Its service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// A field of an upstream differs.
    UpstreamChanged {
        /// Its service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
        /// The field, with its path from the upstream.
        #[serde(flatten)]
        field: FieldChange,
    },
}

/// A field with different values.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldChange {
    /// Path of the field.
    pub field: FieldPath,
    /// Its value in the first configuration.
    pub from: Value,
    /// Its value in the second.
    pub to: Value,
}

/// Lists the differences between two configurations: settings first, then services and
/// upstreams in the order of their ids.
pub fn diff(from: &SiteConfig, to: &SiteConfig) -> Vec<Change> {
    let settings = field_changes(&without_services(from), &without_services(to));
    let mut changes: Vec<Change> =
        settings.into_iter().map(|field| Change::SettingChanged { field }).collect();
    for (service, pair) in pair_by_id(&from.services, &to.services) {
        let service = service.clone();
        match pair {
            Pair::Removed => changes.push(Change::ServiceRemoved { service }),
            Pair::Added => changes.push(Change::ServiceAdded { service }),
            Pair::Both(from, to) => {
                let mut without_upstreams = (from.clone(), to.clone());
                without_upstreams.0.upstreams.clear();
                without_upstreams.1.upstreams.clear();
                let fields = field_changes(&without_upstreams.0, &without_upstreams.1);
                changes.extend(
                    fields
                        .into_iter()
                        .map(|field| Change::ServiceChanged { service: service.clone(), field }),
                );
                for (upstream, pair) in pair_by_id(&from.upstreams, &to.upstreams) {
                    push_upstream_changes(&service, upstream, pair, &mut changes);
                }
            }
        }
    }
    changes
}

fn push_upstream_changes(
    service: &ServiceName,
    upstream: &UpstreamId,
    pair: Pair<'_, Upstream>,
    changes: &mut Vec<Change>,
) {
    let (service, upstream) = (service.clone(), upstream.clone());
    match pair {
        Pair::Removed => changes.push(Change::UpstreamRemoved { service, upstream }),
        Pair::Added => changes.push(Change::UpstreamAdded { service, upstream }),
        Pair::Both(from, to) => {
            changes.extend(field_changes(from, to).into_iter().map(|field| {
                Change::UpstreamChanged {
                    service: service.clone(),
                    upstream: upstream.clone(),
                    field,
                }
            }));
        }
    }
}

fn without_services(config: &SiteConfig) -> SiteConfig {
    SiteConfig { services: BTreeMap::new(), ..config.clone() }
}

/// The entries of one id in the two maps.
enum Pair<'a, T> {
    Removed,
    Added,
    Both(&'a T, &'a T),
}

fn pair_by_id<'a, K: Ord, T>(
    from: &'a BTreeMap<K, T>,
    to: &'a BTreeMap<K, T>,
) -> BTreeMap<&'a K, Pair<'a, T>> {
    let added = to.keys().map(|id| (id, Pair::Added));
    let mut pairs: BTreeMap<&K, Pair<'a, T>> = added.collect();
    for (id, old) in from {
        let pair = match to.get(id) {
            Some(new) => Pair::Both(old, new),
            None => Pair::Removed,
        };
        pairs.insert(id, pair);
    }
    pairs
}

/// Lists the fields in which two values differ.
fn field_changes<T: Serialize>(from: &T, to: &T) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    let (from, to) = (to_json(from), to_json(to));
    compare(&FieldPath::root(), &from, &to, &mut changes);
    changes
}

fn to_json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn compare(path: &FieldPath, from: &Value, to: &Value, changes: &mut Vec<FieldChange>) {
    match (from, to) {
        (Value::Object(old), Value::Object(new)) => {
            for (name, to) in new {
                let from = old.get(name).unwrap_or(&Value::Null);
                compare(&path.field(name), from, to, changes);
            }
        }
        _ if from == to => {}
        _ => changes.push(FieldChange { field: path.clone(), from: from.clone(), to: to.clone() }),
    }
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::SettingChanged { field } => write!(f, "setting {field}"),
            Change::ServiceAdded { service } => write!(f, "service {service} added"),
            Change::ServiceRemoved { service } => write!(f, "service {service} removed"),
            Change::ServiceChanged { service, field } => write!(f, "service {service} {field}"),
            Change::UpstreamAdded { service, upstream } => {
                write!(f, "upstream {service}/{upstream} added")
            }
            Change::UpstreamRemoved { service, upstream } => {
                write!(f, "upstream {service}/{upstream} removed")
            }
            Change::UpstreamChanged { service, upstream, field } => {
                write!(f, "upstream {service}/{upstream} {field}")
            }
        }
    }
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} -> {}", self.field, self.from, self.to)
    }
}
