//! The controller's state of one slice.
use crate::decaying::DecayingRate;
use crate::interface::{HostId, Seconds, SliceId, WeightedHost};
use std::collections::BTreeMap;

/// The slices that a controller decides on.
pub type Slices = BTreeMap<SliceId, Slice>;

/// A slice and its table.
pub struct Slice {
    /// The host that serves it; `None` while no host has the capacity for it.
    pub owner: Option<HostId>,
    /// The host from which failover moved it, and to which fail-back returns it; `None` otherwise.
    pub preferred_host: Option<HostId>,
    /// The host that receives retries.
    pub standby: Option<HostId>,
    /// Its table, as this controller last published it; until then, as it was stored.
    pub published: Vec<WeightedHost>,
    /// Rate of the operations that arrive for it, by class.
    pub demand: Vec<DecayingRate>,
    /// When it was assigned to this controller.
    pub assigned_at: Seconds,
    /// For a single owner: from when on no write to a former owner can be in progress; `None` if not known yet.
    pub writes_end_at: Option<Seconds>,
    /// Operations per second that are assumed until a load report covers the slice.
    pub estimated_rate: f64,
    /// Time before which fail-back and rebalancing do not move the slice; failover does.
    pub pinned_until: Seconds,
}

impl Slice {
    /// Creates a slice from its stored table. The stored standby is kept, because choosing a new one would rewrite
    /// every table.
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

    /// Whether a load report has covered it.
    pub fn is_reported(&self) -> bool {
        self.demand.iter().any(DecayingRate::is_known)
    }

    /// Whether its published table names this host.
    pub fn table_contains(&self, host: HostId) -> bool {
        self.published.iter().any(|entry| entry.host == host)
    }

    /// Operations per second that proxies admit for it. `admission_rates` holds one rate per class.
    pub fn admitted_rate(&self, admission_rates: &[f64]) -> f64 {
        let classes = self.demand.iter().zip(admission_rates);
        let admitted = classes.map(|(demand, admission_rate)| demand.per_second() * admission_rate);
        self.estimated_rate + admitted.sum::<f64>()
    }
}
