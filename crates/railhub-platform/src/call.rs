//! Whether a call may be sent: at most one is in flight, and none is sent while an earlier one's outcome is unknown.
//!
//! Changes that are not decided yet are held back in `src/decision/publish.rs`. A decided command is not sent while:
//! 1. No snapshot is complete yet, so no decisions are made ([`crate::subscription`]).
//! 2. A call is in flight: [`CallBlocker::InFlight`].
//! 3. The outcome of a call is unknown: [`CallBlocker::OutcomeUnknown`]. Repeating a call that was carried out would
//!    queue its commands in the proxies' channel twice. The snapshot of a subscription that was requested after the
//!    call ended shows the outcome.
//! 4. Commands remain of an earlier call that the relay rejected or partly accepted ([`crate::pending_commands`]).
//! 5. The driver pauses after a call that was rejected or whose outcome is unknown.
use crate::relay::SubscriptionId;
use thiserror::Error;

/// The state of the call to the relay.
///
/// | from | event | to |
/// | --- | --- | --- |
/// | `Idle` | a call is sent | `InFlight` |
/// | `InFlight` | its response arrives | `Idle` |
/// | `InFlight` | it ends without a response | `OutcomeUnknown` |
/// | `InFlight` | a slice that the call changes is reassigned | `InFlightOutdated` |
/// | `InFlight` | a snapshot is complete, and the call changes tables of single owners | `InFlightOutdated` |
/// | `InFlightOutdated` | it ends, with or without a response | `OutcomeUnknown` |
/// | `Idle` | a call that changes tables of single owners was accepted while no subscription was current | `OutcomeUnknown` |
/// | `Idle` | a command that changes the table of a single owner was dropped | `OutcomeUnknown` |
/// | `Idle` | too many commands were accepted before a snapshot was complete | `OutcomeUnknown` |
/// | `InFlightOutdated`, `OutcomeUnknown` | a slice that the call changes is reassigned | same state, newer `latest` |
/// | `OutcomeUnknown` | a snapshot that was requested later shows the outcome | `Idle` |
#[derive(Clone, Copy, Debug, Default, PartialEq)]
enum CallState {
    #[default]
    Idle,
    InFlight,
    /// In flight, but its response will not show to which version of a table its commands were applied. Only
    /// subscriptions later than `latest` do.
    InFlightOutdated {
        latest: SubscriptionId,
    },
    /// Only subscriptions later than `latest`, the newest one requested when the call ended, show the outcome.
    OutcomeUnknown {
        latest: SubscriptionId,
    },
}

/// Why no call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CallBlocker {
    /// A call is in flight.
    InFlight,
    /// It is unknown whether an earlier call was carried out.
    OutcomeUnknown,
}

/// Why a new subscription is needed, for which the relay sends a new snapshot.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ResubscribeReason {
    /// A call ended without a valid response.
    #[error("the outcome of a call is not known")]
    OutcomeUnknown,
    /// The new subscription was requested before that call ended, so its snapshot may not show the outcome.
    #[error("the subscription was requested before the call ended")]
    SubscriptionTooEarly,
    /// A call's commands may have been applied to the table of a slice either before or after its reassignment.
    #[error("a slice was reassigned while a call that changes it was in flight")]
    SliceReassigned,
    /// A call that changes a reassigned slice ended: snapshots requested from now on show its effect.
    #[error("a call that changes a reassigned slice ended")]
    OutdatedCallEnded,
    /// A call that changes tables of single owners was accepted while no subscription was current, or was in flight as
    /// one became current. Its commands had no effect on slices that were not assigned to this controller at that moment.
    #[error("a call that changes tables was made while no subscription was current")]
    AcceptedUnobserved,
    /// The relay did not carry out a command that changes the table of a single owner.
    #[error("a command that changes a table was dropped")]
    TableCommandDropped,
    /// More commands were accepted than are kept while a snapshot is pending.
    #[error("too many commands were accepted before a snapshot was complete")]
    SnapshotTooSlow,
    /// The queue of pending commands overflowed and was cleared.
    #[error("too many pending commands, all were dropped")]
    CommandsDropped,
}

/// Tracks the state of the call, and the reason for a new subscription that results from it.
#[derive(Debug, Default)]
pub(crate) struct CallTracker {
    state: CallState,
    resubscribe: Option<ResubscribeReason>,
}

impl CallTracker {
    /// Why the next call may not be sent, if it may not.
    pub(crate) fn blocker(&self) -> Option<CallBlocker> {
        match self.state {
            CallState::Idle => None,
            CallState::InFlight | CallState::InFlightOutdated { .. } => Some(CallBlocker::InFlight),
            CallState::OutcomeUnknown { .. } => Some(CallBlocker::OutcomeUnknown),
        }
    }

    /// A call is sent.
    pub(crate) fn on_sent(&mut self) {
        self.state = CallState::InFlight;
    }

    /// The call in flight ended, with or without a response. `latest` is the newest subscription requested. Without a
    /// response, the caller must also call [`CallTracker::require_snapshot`].
    pub(crate) fn on_ended(&mut self, latest: SubscriptionId) {
        match self.state {
            CallState::Idle | CallState::InFlight => self.state = CallState::Idle,
            CallState::InFlightOutdated { .. } | CallState::OutcomeUnknown { .. } => {
                self.state = CallState::OutcomeUnknown { latest };
                self.resubscribe = Some(ResubscribeReason::OutdatedCallEnded);
            }
        }
    }

    /// The relay's state is unknown until a later snapshot, because of this call or because commands were dropped.
    /// `latest` is the newest subscription requested.
    pub(crate) fn require_snapshot(&mut self, latest: SubscriptionId, reason: ResubscribeReason) {
        self.state = match self.state {
            CallState::InFlight | CallState::InFlightOutdated { .. } => {
                CallState::InFlightOutdated { latest }
            }
            CallState::Idle | CallState::OutcomeUnknown { .. } => CallState::OutcomeUnknown { latest },
        };
        self.resubscribe = Some(reason);
    }

    /// The relay confirmed a subscription. If it was requested too early to show the outcome, another one is needed.
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

    /// If the outcome of an ended call is unknown: the newest subscription whose snapshot does not show it.
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

    /// Returns why a new subscription is needed, and clears the reason.
    pub(crate) fn take_resubscribe_reason(&mut self) -> Option<ResubscribeReason> {
        self.resubscribe.take()
    }
}

#[cfg(test)]
mod tests;
