//! The sessions of proxies; each proxy has at most one.
use super::proxy_channel::{ProxyChannel, StreamId};
use railhub::{ProxyId, Seconds, SliceId};
use railhub_proto::Subscribe;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The state of a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionState {
    /// The proxy has subscribed but has not been sent anything, and the decision engine does not know it yet.
    AwaitingSnapshot,
    /// A snapshot or the changes that the proxy lacked have been queued for it, and the decision engine knows it.
    Joined {
        /// The table that the proxy is assigned; always `None` if there are slices.
        table: Option<SliceId>,
    },
}

/// The session of a proxy on one stream.
pub(super) struct ProxySession<C> {
    pub(super) stream: StreamId,
    pub(super) process: u64,
    pub(super) subscribe: Subscribe,
    pub(super) channel: C,
    pub(super) state: SessionState,
    /// The newest version when the proxy last rejected a delta; 0 if it has not. A response to a delta up to it does not
    /// show that the proxy has applied the rejected change.
    pub(super) rejected_at_version: u64,
}

impl<C> ProxySession<C> {
    pub(super) fn new(stream: StreamId, subscribe: Subscribe, channel: C) -> ProxySession<C> {
        let (process, state) = (subscribe.process, SessionState::AwaitingSnapshot);
        ProxySession { stream, process, subscribe, channel, state, rejected_at_version: 0 }
    }

    pub(super) fn is_joined(&self) -> bool {
        matches!(self.state, SessionState::Joined { .. })
    }

    pub(super) fn has_table(&self) -> bool {
        matches!(self.state, SessionState::Joined { table: Some(_) })
    }
}

/// All sessions, keyed by proxy.
pub(super) struct Sessions<C> {
    by_proxy: BTreeMap<ProxyId, ProxySession<C>>,
    /// Proxies awaiting their snapshot, in the order in which they subscribed. Entries of sessions that have ended are
    /// removed later, by [`Sessions::first_joining`].
    joining: VecDeque<(ProxyId, StreamId)>,
    /// Proxies that have joined this controller process at least once.
    joined_before: BTreeSet<ProxyId>,
}

impl<C: ProxyChannel> Sessions<C> {
    pub(super) fn new() -> Sessions<C> {
        Sessions { by_proxy: BTreeMap::new(), joining: VecDeque::new(), joined_before: BTreeSet::new() }
    }

    pub(super) fn get(&self, proxy: ProxyId) -> Option<&ProxySession<C>> {
        self.by_proxy.get(&proxy)
    }

    /// The session of a proxy, if it runs on this stream.
    pub(super) fn on_stream(&self, proxy: ProxyId, stream: StreamId) -> Option<&ProxySession<C>> {
        self.by_proxy.get(&proxy).filter(|session| session.stream == stream)
    }

    /// The session of a proxy, if it runs on this stream.
    pub(super) fn on_stream_mut(&mut self, proxy: ProxyId, stream: StreamId) -> Option<&mut ProxySession<C>> {
        self.by_proxy.get_mut(&proxy).filter(|session| session.stream == stream)
    }

    /// The session of a proxy, if it is joined.
    pub(super) fn joined_mut(&mut self, proxy: ProxyId) -> Option<&mut ProxySession<C>> {
        self.by_proxy.get_mut(&proxy).filter(|session| session.is_joined())
    }

    /// Adds a session that awaits its snapshot.
    pub(super) fn insert(&mut self, proxy: ProxyId, session: ProxySession<C>) {
        self.joining.push_back((proxy, session.stream));
        self.by_proxy.insert(proxy, session);
    }

    /// Removes and returns the session of a proxy, if it runs on this stream.
    pub(super) fn remove(&mut self, proxy: ProxyId, stream: StreamId) -> Option<ProxySession<C>> {
        self.on_stream(proxy, stream)?;
        self.by_proxy.remove(&proxy)
    }

    /// Whether any proxy may be awaiting its snapshot.
    pub(super) fn any_joining(&self) -> bool {
        !self.joining.is_empty()
    }

    /// The proxy that has awaited its snapshot the longest, with its subscription. Drops the entries in front of it
    /// whose sessions have ended.
    pub(super) fn first_joining(&mut self) -> Option<(ProxyId, &Subscribe)> {
        while let Some((proxy, stream)) = self.joining.front().copied() {
            if self.on_stream(proxy, stream).is_some() {
                return Some((proxy, &self.by_proxy[&proxy].subscribe));
            }
            self.joining.pop_front();
        }
        None
    }

    /// Marks the proxy returned by [`Sessions::first_joining`] as joined. Also returns whether the proxy is new: it has
    /// not joined this controller process before and holds no version. A proxy that was connected to an earlier
    /// controller process is not new, since it still holds the version it received there.
    pub(super) fn join_first(&mut self) -> Option<(&ProxySession<C>, bool)> {
        let (proxy, _) = self.joining.pop_front()?;
        let session = self.by_proxy.get_mut(&proxy)?;
        session.state = SessionState::Joined { table: None };
        let is_new = self.joined_before.insert(proxy);
        let holds_nothing = session.subscribe.version == 0;
        Some((session, is_new && holds_nothing))
    }

    pub(super) fn joined(&self) -> impl Iterator<Item = (ProxyId, &ProxySession<C>)> {
        let joined = self.by_proxy.iter().filter(|(_, session)| session.is_joined());
        joined.map(|(proxy, session)| (*proxy, session))
    }

    pub(super) fn joined_count(&self) -> usize {
        self.joined().count()
    }

    /// Table lines that are pending or in flight to all proxies.
    pub(super) fn backlog_lines(&self, message_cost: f64) -> f64 {
        self.by_proxy.values().map(|session| session.channel.backlog_lines(message_cost)).sum()
    }

    /// Sessions whose proxies have left a delta unanswered for longer than `timeout`.
    pub(super) fn stalled(&self, now: Seconds, timeout: Seconds) -> Vec<(ProxyId, StreamId)> {
        let mut stalled = Vec::new();
        for (proxy, session) in &self.by_proxy {
            if session.channel.unacknowledged_since().is_some_and(|since| now - since > timeout) {
                stalled.push((*proxy, session.stream));
            }
        }
        stalled
    }
}
