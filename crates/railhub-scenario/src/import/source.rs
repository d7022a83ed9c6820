//! The JSON format of a scenario of the users' bench. Times are in microseconds unless a name or comment gives another
//! unit.
use serde::Deserialize;

const MICROSECONDS_PER_SECOND: f64 = 1e6;

/// Converts a time of the source to seconds.
pub(super) fn seconds(microseconds: f64) -> f64 {
    microseconds / MICROSECONDS_PER_SECOND
}

#[derive(Deserialize)]
pub(super) struct SourceScenario {
    pub site: String,
    pub kind: String,
    pub length: f64,
    #[serde(rename = "noise")]
    pub seed: u64,
    pub zones: Vec<String>,
    pub traffic: Traffic,
    pub clients: Clients,
    pub discovery: Discovery,
    pub drain_grace: f64,
    #[serde(rename = "fall_multiple")]
    pub overload_multiple: f64,
    #[serde(rename = "fall_for")]
    pub overload_duration: f64,
    #[serde(default)]
    pub removed_hosts_exempt: bool,
    pub classes: Vec<Class>,
    pub tiers: Vec<Tier>,
    pub servers: Vec<Server>,
    #[serde(rename = "balancers")]
    pub proxies: Vec<serde_json::Value>,
    #[serde(rename = "troubles")]
    pub faults: Vec<SourceFault>,
    #[serde(rename = "fam")]
    pub control: Control,
}

#[derive(Deserialize)]
pub(super) struct Traffic {
    pub load: f64,
    /// Points of time, in seconds, and multiple of the load.
    pub shape: Vec<(f64, f64)>,
    #[serde(rename = "zone_share")]
    pub zone_shares: Vec<f64>,
    pub keys: f64,
    #[serde(default)]
    pub burst_cv: f64,
}

#[derive(Deserialize)]
pub(super) struct Clients {
    pub retries: u32,
    pub try_share: f64,
    #[serde(rename = "backoff_us")]
    pub backoff: f64,
    #[serde(default)]
    pub impatient: f64,
}

#[derive(Deserialize)]
pub(super) struct Discovery {
    #[serde(rename = "ask")]
    pub polled: bool,
    #[serde(rename = "notice")]
    pub removal_delay: f64,
    #[serde(rename = "add")]
    pub add_delay: f64,
}

#[derive(Deserialize)]
pub(super) struct Class {
    pub name: String,
    pub share: f64,
    pub work: f64,
    pub cv: f64,
    #[serde(rename = "aim")]
    pub contract_time: f64,
    #[serde(rename = "deadline")]
    pub hard_stop: f64,
    #[serde(rename = "worth")]
    pub gain: f64,
    pub effect: String,
    pub group: String,
    #[serde(rename = "window")]
    pub key_window: f64,
    #[serde(default, rename = "write")]
    pub writes: bool,
}

#[derive(Deserialize)]
pub(super) struct Tier {
    pub kinds: Vec<Kind>,
    pub report_fields: Vec<String>,
    #[serde(rename = "report_period")]
    pub report_interval: f64,
    pub probe_work: f64,
    #[serde(rename = "conn_cap_per_core")]
    pub connections_per_core: f64,
    pub connect_timeout: f64,
    pub stated_cold_from: f64,
    #[serde(rename = "stated_cold")]
    pub stated_warm_after: f64,
}

impl Tier {
    /// Whether its hosts report their utilization in responses.
    pub fn reports_utilization(&self) -> bool {
        self.report_fields.iter().any(|field| field == "util")
    }
}

#[derive(Deserialize)]
pub(super) struct Kind {
    pub name: String,
    pub cores: f64,
    pub slots: f64,
    pub queue: f64,
    pub cold_from: f64,
    #[serde(rename = "cold")]
    pub warm_after: f64,
    #[serde(default)]
    pub thrash: f64,
    #[serde(default)]
    pub error_rate: f64,
}

#[derive(Deserialize)]
pub(super) struct Server {
    pub zone: usize,
    pub kind: usize,
    pub speed: f64,
    pub up: bool,
}

#[derive(Deserialize)]
pub(super) struct SourceFault {
    pub kind: String,
    pub at: f64,
    #[serde(rename = "len")]
    pub duration: f64,
    /// The meaning of `size` and `extra` depends on the kind. Times in them are in seconds, except for the length of
    /// pauses (milliseconds) and the delay of slow links (multiples of the shortest contract time).
    pub size: f64,
    pub extra: f64,
    #[serde(default, rename = "on")]
    pub servers: Vec<usize>,
    /// Index of a zone.
    #[serde(default, rename = "which")]
    pub zone_index: u64,
    #[serde(default)]
    pub steps: Vec<Step>,
    #[serde(default, rename = "how")]
    pub variant: String,
}

#[derive(Deserialize)]
pub(super) struct Step {
    #[serde(rename = "stop")]
    pub stopped_servers: Vec<usize>,
}

/// Settings of the controllers and of their channel to the proxies.
#[derive(Deserialize)]
pub(super) struct Control {
    pub pick: String,
    /// Largest backlog, in lines.
    pub backlog: f64,
    /// Rate of the channel, in largest backlogs per second.
    pub rate: f64,
    #[serde(rename = "head")]
    pub message_cost: f64,
    #[serde(rename = "bare")]
    pub lost_for: f64,
    pub hold: f64,
    #[serde(rename = "messages_most")]
    pub message_cap: f64,
    /// A multiple of the contract time.
    #[serde(rename = "try_aims")]
    pub first_attempt_wait: f64,
    #[serde(rename = "intake")]
    pub reports_per_second: f64,
    #[serde(rename = "heard_late")]
    pub report_delay: f64,
    #[serde(rename = "period")]
    pub report_interval: f64,
    #[serde(rename = "redial")]
    pub reconnect_delay: f64,
    pub slices: f64,
    #[serde(default)]
    pub slice_cv: f64,
    #[serde(default)]
    pub affinity_gain: f64,
    /// In seconds.
    #[serde(default, rename = "affinity_s")]
    pub affinity_duration: f64,
    #[serde(default)]
    pub exclusive: bool,
    #[serde(default)]
    pub tide: f64,
    pub controllers: Vec<serde_json::Value>,
}
