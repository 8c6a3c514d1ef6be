//! What differs between two configurations.
//!
//! Both are compared field by field in their JSON form, so that a new field of the
//! model is never forgotten here.

use crate::field_path::FieldPath;
use crate::model::{SiteConfig, Upstream};
use domain::{ServiceName, UpstreamId};
use serde::Serialize;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt;

/// One difference.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum Change {
    /// A field outside the services differs.
    SettingChanged {
        /// What differs.
        #[serde(flatten)]
        field: FieldChange,
    },
    /// A service is new.
    ServiceAdded {
        /// The service.
        service: ServiceName,
    },
    /// A service is gone.
    ServiceRemoved {
        /// The service.
        service: ServiceName,
    },
    /// A field of a service differs.
    ServiceChanged {
        /// The service.
        service: ServiceName,
        /// What differs, seen from the service.
        #[serde(flatten)]
        field: FieldChange,
    },
    /// An upstream is new.
    UpstreamAdded {
        /// Its service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// An upstream is gone.
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
        /// What differs, seen from the upstream.
        #[serde(flatten)]
        field: FieldChange,
    },
}

/// A field with different values.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct FieldChange {
    /// Where.
    pub field: FieldPath,
    /// Its value in the first configuration.
    pub from: Value,
    /// Its value in the second.
    pub to: Value,
}

/// What differs from the first configuration to the second, in the order of the ids.
pub fn diff(from: &SiteConfig, to: &SiteConfig) -> Vec<Change> {
    let settings = field_changes(&without_services(from), &without_services(to));
    let mut changes: Vec<Change> =
        settings.into_iter().map(|field| Change::SettingChanged { field }).collect();
    for (service, pair) in pairs(&from.services, &to.services) {
        let service = service.clone();
        match pair {
            Pair::Removed => changes.push(Change::ServiceRemoved { service }),
            Pair::Added => changes.push(Change::ServiceAdded { service }),
            Pair::Both(from, to) => {
                let mut bare = (from.clone(), to.clone());
                bare.0.upstreams.clear();
                bare.1.upstreams.clear();
                let fields = field_changes(&bare.0, &bare.1);
                changes.extend(
                    fields
                        .into_iter()
                        .map(|field| Change::ServiceChanged { service: service.clone(), field }),
                );
                for (upstream, pair) in pairs(&from.upstreams, &to.upstreams) {
                    upstream_changes(&service, upstream, pair, &mut changes);
                }
            }
        }
    }
    changes
}

fn upstream_changes(
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

/// What stands under one id on the two sides.
enum Pair<'a, T> {
    Removed,
    Added,
    Both(&'a T, &'a T),
}

fn pairs<'a, K: Ord, T>(
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

/// Fields of two values of one type that differ.
fn field_changes<T: Serialize>(from: &T, to: &T) -> Vec<FieldChange> {
    let mut changes = Vec::new();
    let (from, to) = (json(from), json(to));
    compare(&FieldPath::root(), &from, &to, &mut changes);
    changes
}

fn json<T: Serialize>(value: &T) -> Value {
    serde_json::to_value(value).unwrap_or_default()
}

fn compare(place: &FieldPath, from: &Value, to: &Value, changes: &mut Vec<FieldChange>) {
    match (from, to) {
        (Value::Object(old), Value::Object(new)) => {
            for (name, to) in new {
                let from = old.get(name).unwrap_or(&Value::Null);
                compare(&place.field(name), from, to, changes);
            }
        }
        _ if from == to => {}
        _ => changes.push(FieldChange { field: place.clone(), from: from.clone(), to: to.clone() }),
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
