//! Handles the events of a proxy's stream, from its subscription to its end.
use super::controller_core::ControllerCore;
use super::environment::{Environment, SessionEvent};
use super::proxy_channel::{CloseReason, ProxyChannel, StreamId};
use super::sessions::ProxySession;
use crate::change::Change;
use crate::delta_queue::{DeltaResponse, ResponseEffect};
use crate::publication::Publication;
use crate::registration::{register, RegistrationOutcome};
use crate::snapshot_admission::snapshot_fits;
use railhub::{BarrierAck, ProxyId, ProxyStreamEvent, Seconds};
use railhub_proto::Subscribe;
use std::sync::Arc;

/// Time between checks for sessions whose responses are overdue.
const STALLED_CHECK_INTERVAL: Seconds = 0.5;

impl<C: ProxyChannel> ControllerCore<C> {
    /// Handles the subscription of a new stream. The session is not joined until [`ControllerCore::admit_sessions`]
    /// admits it.
    pub fn on_subscribe(
        &mut self,
        now: Seconds,
        stream: StreamId,
        subscribe: Subscribe,
        channel: C,
        environment: &mut impl Environment,
    ) {
        let proxy = ProxyId(subscribe.proxy as u16);
        let registered = self.sessions.get(proxy);
        match register(registered.map(|session| session.process), subscribe.process) {
            RegistrationOutcome::Taken => {
                environment.session_event(proxy, SessionEvent::DuplicateRejected);
                channel.close(CloseReason::RegisteredByAnotherProcess);
                return;
            }
            RegistrationOutcome::Replaces => {
                if let Some(older) = registered {
                    older.channel.close(CloseReason::ReplacedByNewerStream);
                    let older = older.stream;
                    self.on_disconnect(now, older, proxy, "replaced by a newer stream", environment);
                }
            }
            RegistrationOutcome::Free => {}
        }
        self.sessions.insert(proxy, ProxySession::new(stream, subscribe, channel));
    }

    /// Handles the end of a stream. `reason` is for the log.
    pub fn on_disconnect(
        &mut self,
        now: Seconds,
        stream: StreamId,
        proxy: ProxyId,
        reason: &str,
        environment: &mut impl Environment,
    ) {
        let Some(session) = self.sessions.remove(proxy, stream) else { return };
        self.propagation.proxy_done(now, proxy);
        self.figures.merged += session.channel.merged();
        if session.is_joined() {
            environment.session_event(proxy, SessionEvent::Disconnected { reason: reason.to_owned() });
            self.batch.proxy_streams.push(ProxyStreamEvent::Disconnected(proxy));
        }
    }

    /// Handles a proxy's response to a delta, and returns whether the delta was in flight. A rejected delta passes its
    /// barrier like an acknowledged one, since it has left the channel; the decision engine is told which exclusions in it
    /// were not applied. With a single owner it does not pass: the proxy goes on writing by the table that it holds.
    pub fn on_delta_response(
        &mut self,
        now: Seconds,
        proxy: ProxyId,
        stream: StreamId,
        nonce: u64,
        response: DeltaResponse,
    ) -> bool {
        let (single_owner, version) = (self.settings.config.single_owner, self.tables.version);
        let Some(session) = self.sessions.on_stream_mut(proxy, stream) else { return false };
        let ResponseEffect::Settled { barrier } = session.channel.on_response(nonce, response) else {
            return false;
        };
        if session.channel.is_idle() {
            self.propagation.proxy_done(now, proxy);
        }
        if response == DeltaResponse::Nack {
            self.figures.nacks += 1;
            session.rejected_at_version = version;
            self.batch.undelivered_exclusions.extend(session.channel.rejected_exclusions());
        }
        if !single_owner || nonce > session.rejected_at_version {
            self.batch.barrier_acks.extend(barrier.map(|barrier| BarrierAck { proxy, barrier }));
        }
        true
    }

    /// Admits proxies that have subscribed, in order, and sends each the changes it lacks, as far as the backlog limit
    /// allows.
    pub fn admit_sessions(&mut self, now: Seconds) {
        if !self.sessions.any_joining() {
            return;
        }
        let config = &self.settings.config;
        let (backlog_limit, message_cost) = (config.backlog_limit, config.message_overhead);
        let mut backlog_lines = self.sessions.backlog_lines(message_cost);
        while let Some((proxy, subscribe)) = self.sessions.first_joining() {
            let (incarnation, version) = (subscribe.incarnation, subscribe.version);
            let change = self.catch_up_change(incarnation, version);
            let cost = change.cost() as f64 + message_cost;
            if !snapshot_fits(backlog_lines, cost, backlog_limit) {
                return;
            }
            backlog_lines += cost;
            self.admit(now, proxy, change);
        }
    }

    /// The change that brings a proxy up to date which holds `version` of the controller process `incarnation`: the
    /// logged changes since that version, or a snapshot if the process is another one or the log does not reach back
    /// so far.
    fn catch_up_change(&self, incarnation: u64, version: u64) -> Change {
        let is_same_incarnation = incarnation == self.incarnation;
        let logged_changes = is_same_incarnation.then(|| self.tables.changes_since(version)).flatten();
        let change = logged_changes.unwrap_or_else(|| self.tables.snapshot());
        let has_no_slices = self.settings.config.slice_count == 0;
        let mut change = if has_no_slices { change.without_tables() } else { change };
        if self.shared.is_some() {
            self.tables.stamp_epochs(&mut change);
        }
        change
    }

    fn admit(&mut self, now: Seconds, proxy: ProxyId, change: Change) {
        let publication = Publication::new(change, self.incarnation, self.tables.version, now, None);
        let Some((session, is_first)) = self.sessions.join_first() else { return };
        session.channel.push(Arc::new(publication));
        self.propagation.begin(now);
        self.propagation.await_proxy(proxy);
        self.batch.proxy_streams.push(if is_first {
            ProxyStreamEvent::Connected(proxy)
        } else {
            ProxyStreamEvent::Reconnected(proxy)
        });
    }

    /// Closes sessions whose responses are overdue. Otherwise the lines queued for them would count towards the backlog
    /// for ever.
    pub fn end_stalled_sessions(&mut self, now: Seconds, environment: &mut impl Environment) {
        if now - self.stalled_checked_at < STALLED_CHECK_INTERVAL {
            return;
        }
        self.stalled_checked_at = now;
        for (proxy, stream) in self.sessions.stalled(now, self.settings.response_timeout) {
            self.figures.response_timeouts += 1;
            environment.session_event(proxy, SessionEvent::ResponseTimeout);
            if let Some(session) = self.sessions.get(proxy) {
                session.channel.close(CloseReason::ResponseTimeout);
            }
            self.on_disconnect(now, stream, proxy, "response timeout", environment);
        }
    }
}
