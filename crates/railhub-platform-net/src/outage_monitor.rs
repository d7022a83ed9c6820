//! Checks periodically whether the controller can do its work, and logs outages that prevent it.
use crate::outage_log::{OutageLog, OutageNotice};
use crate::peer_health::Outage;
use crate::shared_state::SharedState;
use railhub::Seconds;

/// The logs of all kinds of outage.
#[derive(Default)]
pub struct OutageMonitor {
    subscription: OutageLog,
    proxies: EmptinessTracker,
    discovery: OutageLog,
    hosts: EmptinessTracker,
}

/// Detects since when a group, the joined proxies or the listed hosts, is empty, and logs it as an outage.
#[derive(Default)]
struct EmptinessTracker {
    empty_since: Option<Seconds>,
    log: OutageLog,
}

impl EmptinessTracker {
    fn check(&mut self, now: Seconds, is_empty: bool) -> Option<OutageNotice> {
        let outage = self.outage(now, is_empty);
        self.log.check(now, outage)
    }

    fn outage(&mut self, now: Seconds, is_empty: bool) -> Option<Outage> {
        if !is_empty {
            self.empty_since = None;
            return None;
        }
        let since = *self.empty_since.get_or_insert(now);
        Some(Outage { since, cause: String::new() })
    }
}

/// The log messages about one kind of outage.
struct OutageMessages {
    ongoing: &'static str,
    ended: &'static str,
}

const SUBSCRIPTION_MESSAGES: OutageMessages =
    OutageMessages { ongoing: "relay subscription down", ended: "relay subscription restored" };
const PROXY_MESSAGES: OutageMessages =
    OutageMessages { ongoing: "no proxy joined", ended: "proxies joined or relay subscription ended" };
const DISCOVERY_MESSAGES: OutageMessages =
    OutageMessages { ongoing: "discovery watch down", ended: "discovery watch restored" };
const HOST_MESSAGES: OutageMessages =
    OutageMessages { ongoing: "endpoint list empty", ended: "endpoint list has hosts again" };

impl OutageMonitor {
    /// Checks all kinds of outage. During an outage of the relay, the lack of proxies is not logged, as it is a
    /// consequence.
    pub fn check(&mut self, now: Seconds, shared: &SharedState) {
        let relay_outage = shared.relay_health.outage();
        let status = shared.status();
        let no_proxy = relay_outage.is_none() && status.proxies == 0;
        log(&SUBSCRIPTION_MESSAGES, self.subscription.check(now, relay_outage));
        log(&PROXY_MESSAGES, self.proxies.check(now, no_proxy));
        log(&DISCOVERY_MESSAGES, self.discovery.check(now, shared.discovery_health.outage()));
        log(&HOST_MESSAGES, self.hosts.check(now, status.hosts == 0));
    }
}

fn log(messages: &OutageMessages, notice: Option<OutageNotice>) {
    match notice {
        Some(OutageNotice::Ongoing { elapsed, cause }) => {
            // Without a cause, the field is omitted.
            let cause = Some(cause.as_str()).filter(|cause| !cause.is_empty());
            tracing::warn!(elapsed_s = whole_seconds(elapsed), cause, "{}", messages.ongoing);
        }
        Some(OutageNotice::Ended { elapsed }) => {
            tracing::info!(elapsed_s = whole_seconds(elapsed), "{}", messages.ended);
        }
        None => {}
    }
}

fn whole_seconds(elapsed: Seconds) -> u64 {
    elapsed.round() as u64
}
