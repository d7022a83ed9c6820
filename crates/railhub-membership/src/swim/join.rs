//! Joining the cluster through the seed addresses, and rejoining nodes that have forgotten this one.
use super::membership::{Membership, MembershipOutput};
use crate::messages::{Destination, Payload};
use crate::Seconds;
use rand::seq::IndexedRandom;
use rand::RngExt;
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Smallest random factor on the time to the next attempt.
const JOIN_JITTER_MIN: f64 = 0.7;
/// Width of the range from which that factor is drawn.
const JOIN_JITTER_RANGE: f64 = 0.6;

impl Membership {
    /// If an attempt is due, probes the seeds that no live member has as its address: all of them while no other live
    /// member is known, otherwise one at random.
    pub(super) fn send_join_probes(&mut self, now: Seconds, output: &mut MembershipOutput) {
        let has_no_live_peers = self.live_count() == 1;
        if has_no_live_peers {
            self.join.on_no_live_peers(now);
        }
        if !self.join.is_due(now) || self.config.seeds.is_empty() {
            return;
        }
        let jitter = JOIN_JITTER_MIN + JOIN_JITTER_RANGE * self.rng.random::<f64>();
        let mut seeds = self.unknown_seeds();
        if has_no_live_peers {
            self.join.on_join_attempt(now, jitter);
        } else {
            seeds = seeds.choose(&mut self.rng).copied().into_iter().collect();
            self.join.on_rejoin_attempt(now, jitter);
        }
        for seed in seeds {
            self.send(Destination::Address(seed), 0, Payload::Probe, Vec::new(), output);
        }
    }

    /// The seeds that are neither the address of a live member nor this node's own.
    fn unknown_seeds(&self) -> Vec<SocketAddr> {
        let known: BTreeSet<SocketAddr> = self.live_peers().filter_map(|id| self.address(id)).collect();
        let own_address = self.table.local().metadata.address;
        let is_unknown = |seed: &SocketAddr| !known.contains(seed) && Some(*seed) != own_address;
        self.config.seeds.iter().copied().filter(is_unknown).collect()
    }
}
