//! A day with random troubles, in the format of the users' days.

use rand::RngExt;
use rand::seq::IndexedRandom;
use rand_pcg::Pcg64Mcg;
use std::fmt::Write as _;

/// Troubles begin in this part of a day, in seconds from the start of traffic.
const BEGIN_S: (f64, f64) = (0.5, 26.0);

/// Traffic of a day ends here. A trouble that reaches past it meets whoever reads back what
/// was published at the end.
const END_S: f64 = 30.0;

/// Least and most troubles of a day.
const TROUBLES: (usize, usize) = (4, 9);

/// Part of the days on which one trouble comes twice.
const TWICE: f64 = 0.4;

/// Part of the days that end with a final fault.
const CLOSING: f64 = 0.6;

/// A field of a trouble.
#[derive(Debug, Clone, Copy)]
enum Field {
    /// Drawn between two bounds.
    Between(&'static str, f64, f64),
    /// One of some words.
    OneOf(&'static str, &'static [&'static str]),
    /// A whole number.
    Count(&'static str, u32),
}

use Field::{Between, Count, OneOf};

/// A kind of trouble with what may be drawn for it; planned work apart from the rest.
struct Kind {
    name: &'static str,
    is_planned: bool,
    fields: &'static [Field],
}

const fn fault(name: &'static str, fields: &'static [Field]) -> Kind {
    Kind { name, is_planned: false, fields }
}

const fn planned(name: &'static str, fields: &'static [Field]) -> Kind {
    Kind { name, is_planned: true, fields }
}

const CORE: Field = OneOf("on", &["core"]);

#[rustfmt::skip]
const KINDS: &[Kind] = &[
    fault("burst", &[Between("x", 1.3, 2.0), Between("for_s", 2.0, 6.0)]),
    fault("retry_abuse", &[Between("x", 2.0, 4.0), Between("share", 0.2, 0.5), Between("for_s", 3.0, 7.0)]),
    fault("give_up", &[Between("share", 0.1, 0.4), Between("for_s", 3.0, 7.0)]),
    fault("srv_crash", &[Between("share", 0.1, 0.25), Between("for_s", 2.0, 6.0), OneOf("how", &["", "dark", "gone", "dark gone", "domain"])]),
    fault("srv_slow", &[Between("share", 0.1, 0.4), Between("x", 3.0, 12.0), Between("for_s", 3.0, 8.0)]),
    fault("srv_grey", &[Between("share", 0.1, 0.3), Between("x", 0.2, 0.7), Between("for_s", 3.0, 9.0), OneOf("how", &["errors", "shed", "busy", "hang", "reset", "mute", "slow", "shed all"])]),
    fault("srv_lying_health", &[Between("share", 0.1, 0.4), Between("for_s", 3.0, 9.0), OneOf("how", &["errors", "hang", "reset", "bad"])]),
    fault("srv_flap", &[Between("share", 0.1, 0.3), Between("gap_s", 0.5, 2.0), Between("for_s", 4.0, 9.0)]),
    fault("srv_cut", &[Between("share", 0.1, 0.3), Between("for_s", 3.0, 8.0), OneOf("how", &["", "fronts", "some", "one_way", "reset"])]),
    planned("release", &[Between("share", 0.3, 0.6), Between("gap_s", 0.5, 1.2)]),
    fault("replace_with_reuse", &[Between("share", 0.1, 0.35), OneOf("how", &["", "drain", "dark"])]),
    planned("scale_out", &[Between("share", 0.2, 0.4), Between("gap_s", 0.5, 2.0)]),
    planned("scale_in", &[Between("share", 0.1, 0.25)]),
    fault("answer_lost", &[Between("share", 0.3, 0.6), Between("x", 0.02, 0.3), Between("for_s", 3.0, 7.0), OneOf("how", &["", "reset"])]),
    fault("garble", &[Between("share", 0.3, 0.6), Between("x", 0.02, 0.06), Between("for_s", 3.0, 7.0), OneOf("how", &["", "extra", "unframed", "early", "extra late"])]),
    fault("node_kill", &[Between("share", 0.1, 0.3), Between("for_s", 1.0, 4.0), OneOf("how", &["", "power"])]),
    fault("node_kill", &[CORE, Count("count", 1), OneOf("how", &["leader", "power leader", "leader race drain", "meet drain", "reader hard"])]),
    fault("node_freeze", &[Between("share", 0.1, 0.3), Between("for_s", 1.0, 5.0)]),
    fault("node_slow", &[Between("share", 0.1, 0.3), Between("x", 2.0, 6.0), Between("for_s", 3.0, 7.0)]),
    planned("roll_term", &[Between("share", 0.3, 1.0), Between("gap_s", 0.7, 2.0), OneOf("how", &["", "busy"])]),
    fault("herd_kill", &[Between("share", 0.4, 1.0), Between("for_s", 1.0, 3.0), OneOf("how", &["", "power"])]),
    planned("add_nodes", &[Between("share", 0.5, 1.0)]),
    fault("after_ack_kill", &[Between("for_s", 1.0, 3.0), OneOf("how", &["", "kill", "timed"])]),
    fault("core_cut", &[Count("count", 1), Between("for_s", 3.0, 6.0), OneOf("how", &["", "leader", "leader refuse", "leader reset", "all", "near", "one_way", "reader", "turn"])]),
    fault("core_cut", &[Count("count", 2), Between("for_s", 3.0, 6.0), OneOf("how", &["race", "leader race"])]),
    fault("node_cut", &[Between("share", 0.1, 0.35), Between("for_s", 3.0, 9.0), OneOf("how", &["", "meet", "all", "servers"])]),
    fault("lossy", &[Between("x", 0.01, 0.05), Between("for_s", 3.0, 7.0)]),
    fault("platform_down", &[Between("for_s", 2.0, 9.0), OneOf("how", &["", "silent", "busy", "reset", "lapse", "busy lapse"])]),
    fault("platform_down", &[Between("share", 0.2, 0.5), Between("for_s", 4.0, 9.0), OneOf("how", &["nodes", "nodes busy", "nodes many", "nodes reset", "nodes busy revoke", "nodes busy revoke meet drain", "nodes leader"])]),
    fault("platform_slow", &[Between("x", 20.0, 80.0), Between("for_s", 3.0, 6.0)]),
    fault("platform_lost", &[Between("x", 0.2, 0.5), Between("for_s", 3.0, 6.0), OneOf("how", &["", "late"])]),
    fault("platform_compact", &[Between("x", 2.0, 7.0), Between("for_s", 3.0, 12.0), OneOf("how", &["", "drain"])]),
    planned("config_change", &[OneOf("how", &["route", "weights", "timeout", "idle"])]),
    planned("config_storm", &[Between("for_s", 2.0, 5.0), Between("gap_s", 0.08, 0.5), OneOf("how", &["", "route"])]),
    fault("clock_step", &[Between("x", 1000.0, 5000.0), Between("share", 0.2, 0.5), Between("for_s", 2.0, 6.0), OneOf("how", &["", "back", "ahead"])]),
    planned("hup", &[Between("share", 0.3, 1.0), Between("gap_s", 1.0, 3.0)]),
    fault("reset_conns", &[Between("share", 0.1, 0.4), Between("x", 0.3, 1.0)]),
];

/// Writes a day.
pub fn day(name: &str, zones: &[String], rng: &mut Pcg64Mcg) -> String {
    let count = rng.random_range(TROUBLES.0..=TROUBLES.1);
    let mut kinds: Vec<&Kind> = (0..count).filter_map(|_| KINDS.choose(rng)).collect();
    if rng.random_bool(TWICE) {
        kinds.extend(kinds.choose(rng).copied());
    }
    let (mut plan, mut faults) = (String::new(), String::new());
    for kind in kinds {
        let list = if kind.is_planned { &mut plan } else { &mut faults };
        let _ = writeln!(list, "  {{ {} }},", entry(kind, zones, rng));
    }
    let seed = rng.random_range(1..1_000_000_000);
    let closing = closing(rng);
    format!(
        "[[day]]\nname = \"{name}\"\nslot = \"trouble\"\nseed = {seed}\none = 0.8\nzero = 0.2\n\
         goal = {{ floor = 0.05 }}\nlabels = []\nwall = 2.8\nlight = true\n{closing}\
         plan = [\n{plan}]\nfaults = [\n{faults}]\n"
    )
}

fn closing(rng: &mut Pcg64Mcg) -> String {
    let kinds = ["power_off_all", "kill_all", "wipe_after_ack"];
    match kinds.choose(rng).filter(|_| rng.random_bool(CLOSING)) {
        Some(kind) => {
            let down_s = rng.random_range(0.5..2.0);
            format!("closing = {{ kind = \"{kind}\", down_s = {down_s:.2} }}\n")
        }
        None => String::new(),
    }
}

fn entry(kind: &Kind, zones: &[String], rng: &mut Pcg64Mcg) -> String {
    let at_s = rng.random_range(BEGIN_S.0..BEGIN_S.1);
    let mut text = format!("at = {at_s:.2}, kind = \"{}\"", kind.name);
    for field in kind.fields {
        let _ = match *field {
            Between(name, low, high) => {
                let drawn: f64 = rng.random_range(low..high);
                let value = if name == "for_s" { drawn.min(END_S - at_s) } else { drawn };
                write!(text, ", {name} = {value:.3}")
            }
            OneOf(name, words) => {
                write!(text, ", {name} = \"{}\"", words.choose(rng).unwrap_or(&""))
            }
            Count(name, count) => write!(text, ", {name} = {count}"),
        };
    }
    if let Some(zone) = zones.choose(rng).filter(|_| kind.name == "lossy") {
        let _ = write!(text, ", zone = \"{zone}\"");
    }
    text
}
