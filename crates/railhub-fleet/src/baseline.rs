//! What plain policies publish, for comparing: they go by the list alone.
use crate::list::Line;
use railhub::{HostId, Phase, SliceId};
use railhub_steward::tables::{Change, Tables};
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Baseline {
    /// Each slice on the host that a weighted rendezvous hash names.
    Hash,
    /// Each slice on all hosts, by their weights.
    Even,
}

/// All tables as the policy wants them for these hosts.
pub fn wanted(
    policy: Baseline,
    slices: u32,
    told: &BTreeMap<SocketAddr, Line>,
) -> Vec<Vec<(SocketAddr, f64)>> {
    let ready: Vec<(SocketAddr, f64)> = told
        .iter()
        .filter(|(_, line)| line.phase == Phase::Ready)
        .map(|(host, line)| (*host, line.weight))
        .collect();
    let one = |slice: u32| match policy {
        Baseline::Even => ready.clone(),
        Baseline::Hash => {
            let best = ready.iter().max_by(|a, b| score(slice, a).total_cmp(&score(slice, b)));
            best.map(|(host, _)| (*host, 1.0)).into_iter().collect()
        }
    };
    (0..slices.max(1)).map(one).collect()
}

fn score(slice: u32, (host, weight): &(SocketAddr, f64)) -> f64 {
    let mut bits = (u64::from(host.port()) << 32 | u64::from(slice)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits ^= bits >> 32;
    let unit = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight.max(0.01) / unit.ln()
}

/// What must change for that.
pub fn change(tables: &Tables, wanted: &[Vec<(SocketAddr, f64)>]) -> Change {
    let mut change = Change::default();
    for (slice, lines) in wanted.iter().enumerate() {
        let slice = SliceId(slice as u16);
        let held = tables.lines_of(slice);
        for (host, weight) in lines {
            if !held.contains(&(HostId(*host), *weight)) {
                change.lines.insert((slice, HostId(*host)), *weight);
            }
        }
        for (host, _) in held.iter().filter(|(host, _)| !lines.iter().any(|line| line.0 == host.0)) {
            change.lines.insert((slice, *host), 0.0);
        }
    }
    change
}
