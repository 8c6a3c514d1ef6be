//! Whom a host talks to, so that its control traffic stays bounded in any fleet.
//!
//! All hosts stand on a ring in the order of their ids. News go to those 1, 2, 4, 8 and so
//! on places ahead: everybody is told within a few hops, and each is told by several.
//! Heartbeats go to a stretch of the ring that moves on, so each peer gets one by turns.

/// Peers that one piece of news goes to at most.
pub const MAX_NEWS_PEERS: usize = 8;
/// Heartbeats of one round at most.
const MAX_HEARTBEATS: usize = 8;
/// Heartbeats of one round at least.
const MIN_HEARTBEATS: usize = 2;
/// Bytes of heartbeats that a host sends in a round, about.
const ROUND_BYTES: usize = 2500;
/// Bytes of one heartbeat on the wire without the ages, about.
const HEARTBEAT_BYTES: usize = 250;

/// Places ahead on a ring of `peers` other hosts that news go to.
pub fn news_offsets(peers: usize) -> Vec<usize> {
    if peers <= MAX_NEWS_PEERS {
        return (1..=peers).collect();
    }
    let factor = (peers as f64).powf(1.0 / MAX_NEWS_PEERS as f64).max(2.0);
    let mut offsets: Vec<usize> = Vec::new();
    let mut reach = 1.0;
    while offsets.len() < MAX_NEWS_PEERS && reach <= peers as f64 {
        let offset = (reach as usize).max(offsets.last().map_or(1, |last| last + 1));
        offsets.push(offset);
        reach *= factor;
    }
    offsets
}

/// Places ahead on a ring of `peers` other hosts that get a heartbeat in this round.
pub fn heartbeat_offsets(peers: usize, round: u64) -> Vec<usize> {
    let count = heartbeats_per_round(peers).min(peers);
    let first = round.wrapping_mul(count as u64);
    let stride = stride(peers as u64);
    let place = |step: u64| first.wrapping_add(step).wrapping_mul(stride) % peers as u64;
    (0..count as u64).map(|step| place(step) as usize + 1).collect()
}

/// A step that visits every place of a ring of that length, near its golden section.
fn stride(length: u64) -> u64 {
    let golden = (length as f64 * 0.618).round() as u64;
    (golden.max(1)..).find(|&step| greatest_common_divisor(step, length) == 1).unwrap_or(1)
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    match b {
        0 => a,
        _ => greatest_common_divisor(b, a % b),
    }
}

fn heartbeats_per_round(peers: usize) -> usize {
    (ROUND_BYTES / (HEARTBEAT_BYTES + peers)).clamp(MIN_HEARTBEATS, MAX_HEARTBEATS)
}
