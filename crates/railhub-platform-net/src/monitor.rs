//! Looks each second whether the steward can serve, and logs why it cannot.
use crate::health::Outage;
use crate::outage_log::{Notice, OutageLog};
use crate::shared::Shared;
use railhub::Seconds;

#[derive(Default)]
pub struct Monitor {
    subscription: OutageLog,
    proxies: OutageLog,
    discovery: OutageLog,
    hosts: OutageLog,
    no_proxy_since: Option<Seconds>,
    no_host_since: Option<Seconds>,
}

impl Monitor {
    pub fn check(&mut self, now: Seconds, shared: &Shared) {
        let relay_outage = shared.relay_health.outage();
        let controller = shared.owner.lock().expect("no holder panics").clone();
        let no_proxy = relay_outage.is_none() && controller.joined == 0;
        let no_proxy = lasting(&mut self.no_proxy_since, now, no_proxy);
        let no_host = lasting(&mut self.no_host_since, now, controller.hosts == 0);
        match self.subscription.check(now, relay_outage) {
            Some(Notice::Lasts { seconds, cause }) => {
                tracing::warn!("no relay subscription for {seconds:.0} s: {cause}");
            }
            Some(Notice::Ended { seconds }) => {
                tracing::info!("the relay subscription stands again after {seconds:.0} s");
            }
            None => {}
        }
        match self.proxies.check(now, no_proxy) {
            Some(Notice::Lasts { seconds, .. }) => {
                tracing::warn!("subscribed, but no proxy has joined for {seconds:.0} s");
            }
            Some(Notice::Ended { seconds }) => {
                tracing::info!("proxies have joined, or the subscription ended, after {seconds:.0} s");
            }
            None => {}
        }
        match self.discovery.check(now, shared.discovery_health.outage()) {
            Some(Notice::Lasts { seconds, cause }) => {
                tracing::warn!("no word from discovery for {seconds:.0} s: {cause}");
            }
            Some(Notice::Ended { seconds }) => {
                tracing::info!("discovery is heard again after {seconds:.0} s");
            }
            None => {}
        }
        match self.hosts.check(now, no_host) {
            Some(Notice::Lasts { seconds, .. }) => {
                tracing::warn!("no host is listed for {seconds:.0} s");
            }
            Some(Notice::Ended { seconds }) => {
                tracing::info!("hosts are listed again after {seconds:.0} s");
            }
            None => {}
        }
    }
}

/// The outage that lasts since the first look that found it.
fn lasting(since: &mut Option<Seconds>, now: Seconds, is_out: bool) -> Option<Outage> {
    if !is_out {
        *since = None;
        return None;
    }
    let since = *since.get_or_insert(now);
    Some(Outage { since, cause: String::new() })
}
