//! A probe that has not been acknowledged yet.
use crate::probe_score::MIN_ACK_TIMEOUT;
use crate::{NodeId, Seconds};

/// Seconds from a probe until its target is suspected, at a local health multiplier of 1. It leaves time for direct and
/// indirect acknowledgements; a helper sends its nack after half of it.
pub(super) const PROBE_TIMEOUT: Seconds = 0.4;
/// Longest ack timeout in seconds, after which an acknowledgement counts as late. Also the time after which indirect
/// probes are requested again, and after which a helper sends its nack.
pub(super) const MAX_ACK_TIMEOUT: Seconds = PROBE_TIMEOUT / 2.0;

/// Escalation stage of a probe: Direct -> Indirect (the acknowledgement is late) -> Exhausted (later still, with no
/// nack).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeStage {
    /// Only the direct probe was sent.
    Direct,
    /// Indirect probes were requested from helpers.
    Indirect,
    /// Indirect probes were requested twice, or the probe is made on behalf of another node: there is no further stage.
    Exhausted,
}

/// A probe that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) number: u64,
    pub(super) target: NodeId,
    pub(super) sent_at: Seconds,
    pub(super) stage: ProbeStage,
    /// Number of helpers that were last asked for indirect probes.
    pub(super) helpers: usize,
    /// Whether a helper sent a nack, so that the helper is reachable but the target is not.
    pub(super) nack_received: bool,
    /// The node on whose behalf the probe is made, if it is an indirect one.
    pub(super) on_behalf_of: Option<ProbeRequester>,
}

/// The node that requested an indirect probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeRequester {
    pub(super) id: NodeId,
    /// The requester's number for the probe.
    pub(super) probe_number: u64,
    /// Whether the requester suspects the target, so that the ack to it includes the target's entry.
    pub(super) suspects_target: bool,
}

impl PendingProbe {
    /// The earliest time at which the next action on the probe may be due.
    pub(super) fn next_check_at(&self) -> Seconds {
        let timeout = match self.stage {
            ProbeStage::Direct => MIN_ACK_TIMEOUT,
            ProbeStage::Indirect => MAX_ACK_TIMEOUT,
            ProbeStage::Exhausted => PROBE_TIMEOUT,
        };
        self.sent_at + timeout
    }

    /// Whether the probe has failed. `multiplier`: the local health multiplier.
    pub(super) fn has_timed_out(&self, now: Seconds, multiplier: f64) -> bool {
        let timeout = if self.on_behalf_of.is_some() { MAX_ACK_TIMEOUT } else { PROBE_TIMEOUT * multiplier };
        now - self.sent_at >= timeout
    }

    /// Whether indirect probes have to be requested now, for the first or the second time.
    pub(super) fn needs_helpers(&self, now: Seconds, ack_timeout: Seconds, multiplier: f64) -> bool {
        let elapsed = now - self.sent_at;
        match self.stage {
            ProbeStage::Direct => elapsed >= ack_timeout,
            ProbeStage::Indirect => !self.nack_received && elapsed >= MAX_ACK_TIMEOUT * multiplier,
            ProbeStage::Exhausted => false,
        }
    }

    /// Moves to the next stage because indirect probes are being requested from `helpers` nodes.
    pub(super) fn escalate(&mut self, helpers: usize) {
        self.stage = match self.stage {
            ProbeStage::Direct => ProbeStage::Indirect,
            ProbeStage::Indirect | ProbeStage::Exhausted => ProbeStage::Exhausted,
        };
        self.helpers = helpers;
    }
}
