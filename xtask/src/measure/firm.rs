//! The two deployments, at their sizes.

use clap::ValueEnum;
use domain::{Connections, Millis, Slots};
use serde::Serialize;

/// Whose deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Firm {
    /// Three availability zones, 34 upstreams with 6 slots.
    Pwani,
    /// Four availability zones, 26 upstreams with 3 slots.
    Himal,
}

impl Firm {
    /// Name of the site.
    pub fn site(self) -> &'static str {
        match self {
            Firm::Pwani => "dar-es-salaam",
            Firm::Himal => "kathmandu",
        }
    }

    /// Availability zones.
    pub fn zones(self) -> &'static [&'static str] {
        match self {
            Firm::Pwani => &["kariakoo", "msasani", "temeke"],
            Firm::Himal => &["baneshwor", "lalitpur", "bhaktapur", "kirtipur"],
        }
    }

    /// Services with their number of upstreams.
    pub fn services(self) -> [(&'static str, u32); 3] {
        match self {
            Firm::Pwani => [("portal", 15), ("parts", 6), ("statements", 13)],
            Firm::Himal => [("catalogue", 8), ("ordering", 8), ("delivery", 10)],
        }
    }

    /// Slots of each upstream.
    pub fn slots(self) -> Slots {
        match self {
            Firm::Pwani => Slots(6),
            Firm::Himal => Slots(3),
        }
    }

    /// Connections of each upstream.
    pub fn connections(self) -> Connections {
        match self {
            Firm::Pwani => Connections(250),
            Firm::Himal => Connections(200),
        }
    }

    /// One-way delay between availability zones as set in the stand-ins, whose timer adds
    /// about half a millisecond: 1 ms and 1.5 ms are both set as 1.
    pub fn zone_delay_ms(self) -> Millis {
        Millis(1)
    }
}
