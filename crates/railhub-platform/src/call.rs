//! Whether a call may leave: at most one is in flight, and none leaves while the outcome of an earlier one is not known.
//!
//! What is not decided yet waits in `src/decision/publish.rs`. A command that was decided and has not left waits for:
//! 1. No snapshot is complete yet, so that nothing is decided ([`crate::subscription`]).
//! 2. A call is in flight: [`CallBlocker::InFlight`].
//! 3. The outcome of a call is not known: [`CallBlocker::OutcomeUnknown`]. Repeated, a call that was carried out would
//!    wait in the proxies' channel twice; a snapshot of a subscription that was requested after the call ended shows it.
//! 4. Earlier commands of a call that the relay stopped at or did not let in ([`crate::pending_commands`]).
//! 5. The driver, which pauses after a call that was not let in or whose outcome is not known.
use crate::relay::SubscriptionId;
use thiserror::Error;

/// The state of the call to the relay.
///
/// | from | event | to |
/// | --- | --- | --- |
/// | `Idle` | a call is sent | `InFlight` |
/// | `InFlight` | its response comes | `Idle` |
/// | `InFlight` | it ends without a response | `OutcomeUnknown` |
/// | `InFlight` | a slice that it is about is assigned anew | `InFlightOutdated` |
/// | `InFlightOutdated` | it ends, with or without a response | `OutcomeUnknown` |
/// | `Idle` | a slice is assigned anew that the rest of an ended call is about | `OutcomeUnknown` |
/// | `Idle` | too many commands were accepted before a snapshot was complete | `OutcomeUnknown` |
/// | `InFlightOutdated`, `OutcomeUnknown` | a slice that it is about is assigned anew | the same, with a newer `latest` |
/// | `OutcomeUnknown` | a snapshot that was requested later shows the outcome | `Idle` |
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum CallState {
    #[default]
    Idle,
    InFlight,
    /// In flight, and its response will not show on which table its commands were carried out. Only subscriptions later
    /// than `latest` do.
    InFlightOutdated {
        latest: SubscriptionId,
    },
    /// Only subscriptions later than `latest`, the newest that was requested when the call ended, show the outcome.
    OutcomeUnknown {
        latest: SubscriptionId,
    },
}

/// Why no call leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallBlocker {
    /// One is in flight.
    InFlight,
    /// It is not known whether an earlier one was carried out.
    OutcomeUnknown,
}

/// Why a new subscription is needed: the relay must send what it holds again.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResubscribeReason {
    /// A call ended without a response that could be read.
    #[error("the outcome of a call is not known")]
    OutcomeUnknown,
    /// The new subscription was requested before such a call ended, so that its snapshot may be older.
    #[error("the subscription was requested before the call ended")]
    SubscriptionTooEarly,
    /// A call's commands may be on a slice's table as it was before, or as it was assigned.
    #[error("a slice was assigned while a call about it was in flight")]
    SliceReassigned,
    /// Such a call ended: its effect can be seen from now on.
    #[error("a call about a reassigned slice ended")]
    OutdatedCallEnded,
    /// More commands were accepted than are kept while a snapshot is due.
    #[error("too many commands were accepted before a snapshot was complete")]
    SnapshotTooSlow,
    /// More commands waited than are kept.
    #[error("pending commands were dropped for want of room")]
    CommandsDropped,
}

/// The state of the call, and the reason for a new subscription that follows from it.
#[derive(Debug, Default)]
pub(crate) struct CallTracker {
    state: CallState,
    resubscribe: Option<ResubscribeReason>,
}

impl CallTracker {
    /// What keeps the next call from leaving.
    pub(crate) fn blocker(&self) -> Option<CallBlocker> {
        match self.state {
            CallState::Idle => None,
            CallState::InFlight | CallState::InFlightOutdated { .. } => Some(CallBlocker::InFlight),
            CallState::OutcomeUnknown { .. } => Some(CallBlocker::OutcomeUnknown),
        }
    }

    /// A call leaves.
    pub(crate) fn on_sent(&mut self) {
        self.state = CallState::InFlight;
    }

    /// The call in flight ended, in whatever way. `latest`: the newest subscription requested. Without a response the
    /// caller then calls [`CallTracker::require_snapshot`].
    pub(crate) fn on_ended(&mut self, latest: SubscriptionId) {
        match self.state {
            CallState::Idle | CallState::InFlight => self.state = CallState::Idle,
            CallState::InFlightOutdated { .. } | CallState::OutcomeUnknown { .. } => {
                self.state = CallState::OutcomeUnknown { latest };
                self.resubscribe = Some(ResubscribeReason::OutdatedCallEnded);
            }
        }
    }

    /// What the relay holds is not known until a later snapshot: because of this call, or of commands that were dropped.
    /// `latest`: the newest subscription requested.
    pub(crate) fn require_snapshot(&mut self, latest: SubscriptionId, reason: ResubscribeReason) {
        self.state = match self.state {
            CallState::InFlight | CallState::InFlightOutdated { .. } => {
                CallState::InFlightOutdated { latest }
            }
            CallState::Idle | CallState::OutcomeUnknown { .. } => CallState::OutcomeUnknown { latest },
        };
        self.resubscribe = Some(reason);
    }

    /// The relay confirmed a subscription. One that was requested too early needs yet another.
    pub(crate) fn on_subscribed(&mut self, subscription: SubscriptionId) {
        match self.state {
            CallState::InFlightOutdated { latest } | CallState::OutcomeUnknown { latest }
                if subscription <= latest =>
            {
                self.resubscribe = Some(ResubscribeReason::SubscriptionTooEarly);
            }
            _ => {}
        }
    }

    /// The newest subscription that does not show the outcome of the call, if an ended one has an unknown outcome.
    pub(crate) fn newest_subscription_without_outcome(&self) -> Option<SubscriptionId> {
        match self.state {
            CallState::OutcomeUnknown { latest } => Some(latest),
            _ => None,
        }
    }

    /// A snapshot showed the outcome of the call.
    pub(crate) fn on_outcome_known(&mut self) {
        self.state = CallState::Idle;
    }

    /// Why a new subscription is needed; given once.
    pub(crate) fn take_resubscribe_reason(&mut self) -> Option<ResubscribeReason> {
        self.resubscribe.take()
    }
}

#[cfg(test)]
mod tests;
