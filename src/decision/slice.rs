//! A slice, as the controller that decides on it knows it.
use crate::decaying::DecayingRate;
use crate::interface::{HostId, Seconds, SliceId, WeightedHost};
use std::collections::BTreeMap;

/// The slices that a controller decides on.
pub type Slices = BTreeMap<SliceId, Slice>;

/// A slice and its table.
pub struct Slice {
    /// The host that serves it; `None`: no host can bear it now.
    pub owner: Option<HostId>,
    /// The host it was taken from and fails back to.
    pub preferred_host: Option<HostId>,
    /// The host that retries meet.
    pub standby: Option<HostId>,
    /// Its table, as last published or as stored.
    pub published: Vec<WeightedHost>,
    /// Operations that come for it, by class.
    pub demand: Vec<DecayingRate>,
    /// When it was assigned to this controller.
    pub assigned_at: Seconds,
    /// Where it has a single owner: when the last write to a former one has ended; `None`: not known yet.
    pub writes_end_at: Option<Seconds>,
    /// Operations a second that it is taken to have until it is reported.
    pub estimated_rate: f64,
    /// Neither fail-back nor rebalancing moves it before; failover does.
    pub pinned_until: Seconds,
}

impl Slice {
    /// A slice with its table as stored. The stored standby stays, too: to choose anew would rewrite every table.
    pub fn from_stored(now: Seconds, published: Vec<WeightedHost>, classes: usize) -> Slice {
        let owner = published.iter().max_by(|a, b| a.weight.total_cmp(&b.weight)).map(|entry| entry.host);
        let standby = published.iter().map(|entry| entry.host).find(|host| Some(*host) != owner);
        Slice {
            owner,
            preferred_host: None,
            standby,
            published,
            demand: vec![DecayingRate::default(); classes],
            assigned_at: now,
            writes_end_at: None,
            estimated_rate: 0.0,
            pinned_until: 0.0,
        }
    }

    /// A load report has covered it.
    pub fn is_reported(&self) -> bool {
        self.demand.iter().any(DecayingRate::is_known)
    }

    /// Its published table names this host.
    pub fn publishes(&self, host: HostId) -> bool {
        self.published.iter().any(|entry| entry.host == host)
    }

    /// Operations a second that proxies admit for it. `admission_rates`: by class.
    pub fn admitted_rate(&self, admission_rates: &[f64]) -> f64 {
        let classes = self.demand.iter().zip(admission_rates);
        let admitted = classes.map(|(demand, admission_rate)| demand.per_second() * admission_rate);
        self.estimated_rate + admitted.sum::<f64>()
    }
}
