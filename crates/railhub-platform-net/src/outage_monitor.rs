//! Checks periodically whether the controller can serve, and logs why it cannot.
use crate::outage_log::{OutageLog, OutageNotice};
use crate::peer_health::Outage;
use crate::shared_state::SharedState;
use railhub::Seconds;

/// The outages that are logged.
#[derive(Default)]
pub struct OutageMonitor {
    subscription: OutageLog,
    proxies: PopulationOutage,
    discovery: OutageLog,
    hosts: PopulationOutage,
}

/// The outage that a population is empty, found by looking.
#[derive(Default)]
struct PopulationOutage {
    empty_since: Option<Seconds>,
    log: OutageLog,
}

impl PopulationOutage {
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

/// Starts of the log lines about one kind of outage; the time that it lasts, and a cause, follow.
struct OutageLines {
    ongoing: &'static str,
    ended: &'static str,
}

const SUBSCRIPTION: OutageLines =
    OutageLines { ongoing: "no relay subscription for", ended: "the relay subscription stands again after" };
const PROXIES: OutageLines = OutageLines {
    ongoing: "subscribed, but no proxy has joined for",
    ended: "proxies have joined, or the subscription ended, after",
};
const DISCOVERY: OutageLines =
    OutageLines { ongoing: "no word from discovery for", ended: "discovery is heard again after" };
const HOSTS: OutageLines =
    OutageLines { ongoing: "no host is listed for", ended: "hosts are listed again after" };

impl OutageMonitor {
    /// Looks at all of them. The relay's outage explains that no proxy is joined, which is not logged meanwhile.
    pub fn check(&mut self, now: Seconds, shared: &SharedState) {
        let relay_outage = shared.relay_health.outage();
        let status = shared.status();
        let no_proxy = relay_outage.is_none() && status.proxies == 0;
        log(&SUBSCRIPTION, self.subscription.check(now, relay_outage));
        log(&PROXIES, self.proxies.check(now, no_proxy));
        log(&DISCOVERY, self.discovery.check(now, shared.discovery_health.outage()));
        log(&HOSTS, self.hosts.check(now, status.hosts == 0));
    }
}

fn log(lines: &OutageLines, notice: Option<OutageNotice>) {
    match notice {
        Some(OutageNotice::Ongoing { elapsed, cause }) if cause.is_empty() => {
            tracing::warn!("{} {elapsed:.0} s", lines.ongoing);
        }
        Some(OutageNotice::Ongoing { elapsed, cause }) => {
            tracing::warn!("{} {elapsed:.0} s: {cause}", lines.ongoing);
        }
        Some(OutageNotice::Ended { elapsed }) => tracing::info!("{} {elapsed:.0} s", lines.ended),
        None => {}
    }
}
