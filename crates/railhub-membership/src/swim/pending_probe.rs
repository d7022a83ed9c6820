//! A probe that has not been acknowledged yet.
use crate::probe_score::MIN_ACK_TIMEOUT;
use crate::{NodeId, Seconds};

/// Seconds from a probe until its target is suspected, at a local health multiplier of 1: direct and indirect
/// acknowledgements have had time. A helper sends its nack after half of it.
pub(super) const PROBE_TIMEOUT: Seconds = 0.4;
/// Seconds after which an acknowledgement is late at the latest, helpers are tried again, and a helper sends its nack.
pub(super) const MAX_ACK_TIMEOUT: Seconds = PROBE_TIMEOUT / 2.0;

/// How far a probe has been escalated: Direct -> Indirect (late) -> Exhausted (later, and without a nack).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProbeStage {
    /// Only the direct probe was sent.
    Direct,
    /// Indirect probes were requested from helpers.
    Indirect,
    /// Indirect probes were requested twice, or the probe is made for another node: there is no further stage.
    Exhausted,
}

/// A probe that has not been acknowledged yet.
#[derive(Clone, Debug)]
pub(super) struct PendingProbe {
    pub(super) number: u64,
    pub(super) target: NodeId,
    pub(super) sent_at: Seconds,
    pub(super) stage: ProbeStage,
    /// Helpers of the last request for indirect probes.
    pub(super) helpers: usize,
    /// A helper sent a nack: the helper is reachable, the target is not.
    pub(super) nack_received: bool,
    /// The node that the probe is made for, if it is an indirect one.
    pub(super) on_behalf_of: Option<ProbeRequester>,
}

/// The node that requested an indirect probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeRequester {
    pub(super) id: NodeId,
    /// The requester's number for the probe.
    pub(super) probe_number: u64,
    /// The requester suspects the target: it is sent the target's own entry.
    pub(super) suspects_target: bool,
}

impl PendingProbe {
    /// When something may be due for it next.
    pub(super) fn next_check_at(&self) -> Seconds {
        let wait = match self.stage {
            ProbeStage::Direct => MIN_ACK_TIMEOUT,
            ProbeStage::Indirect => MAX_ACK_TIMEOUT,
            ProbeStage::Exhausted => PROBE_TIMEOUT,
        };
        self.sent_at + wait
    }

    /// Whether it has failed; `multiplier` is that of the node's local health.
    pub(super) fn has_timed_out(&self, now: Seconds, multiplier: f64) -> bool {
        let timeout = if self.on_behalf_of.is_some() { MAX_ACK_TIMEOUT } else { PROBE_TIMEOUT * multiplier };
        now - self.sent_at >= timeout
    }

    /// Whether indirect probes are to be requested now, for the first or the second time.
    pub(super) fn needs_helpers(&self, now: Seconds, ack_timeout: Seconds, multiplier: f64) -> bool {
        let elapsed = now - self.sent_at;
        match self.stage {
            ProbeStage::Direct => elapsed >= ack_timeout,
            ProbeStage::Indirect => !self.nack_received && elapsed >= MAX_ACK_TIMEOUT * multiplier,
            ProbeStage::Exhausted => false,
        }
    }

    /// Indirect probes are requested now.
    pub(super) fn escalate(&mut self, helpers: usize) {
        self.stage = match self.stage {
            ProbeStage::Direct => ProbeStage::Indirect,
            ProbeStage::Indirect | ProbeStage::Exhausted => ProbeStage::Exhausted,
        };
        self.helpers = helpers;
    }
}
