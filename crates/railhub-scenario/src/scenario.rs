//! A scenario: the cluster, its load, and the faults, as [`crate::reader`] reads them from a file.
use crate::fault::ScheduledFault;
use railhub_emulator::client::ClientConfig;
use railhub_emulator::routing::BalancingPolicy;
use railhub_emulator::OperationClass as EmulatedClass;
use railhub_membership::lease_store::StoreFaults;
use railhub_record::Limits;
use railhub_trace::Trace;
use std::sync::Arc;

/// A class of operations.
#[derive(Clone, Debug)]
pub struct OperationClass {
    /// Properties of the class that clients and hosts use.
    pub properties: EmulatedClass,
    /// Weight of the class among all operations.
    pub share: f64,
    /// Mean work of an operation, in core seconds.
    pub work: f64,
    /// Coefficient of variation of the work.
    pub work_cv: f64,
}

/// A kind of host.
#[derive(Clone, Debug)]
pub struct HostKind {
    /// The name in the section's header.
    pub name: String,
    /// Weight of the kind among all hosts.
    pub share: f64,
    /// Number of cores of a host.
    pub cores: usize,
    /// Lowest and highest speed of a core; 1 is the reference.
    pub speed: (f64, f64),
    /// Maximum number of operations in a host's queue.
    pub max_queued: usize,
    /// Fraction of its speed with which a cold host starts.
    pub cold_capacity_fraction: f64,
    /// Seconds until a cold host is warm.
    pub warm_up_time: f64,
}

/// Deviation of a controller's lease clock from the system clock. For tests: an ordinary user cannot set the system
/// clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TestClock {
    /// Seconds by which the clock advances in a real second.
    pub speed: f64,
    /// Seconds between the controller's first start and the jump.
    pub jumps_after: f64,
    /// Seconds by which the clock jumps; backwards if negative.
    pub jumps_by: f64,
}

impl Default for TestClock {
    fn default() -> TestClock {
        TestClock { speed: 1.0, jumps_after: 0.0, jumps_by: 0.0 }
    }
}

/// Everything a scenario file defines. Times are in seconds.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The scenario's name in reports.
    pub name: String,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Length of the period in which operations begin.
    pub length: f64,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Weights of the zones in the traffic, one per zone.
    pub zone_shares: Vec<f64>,
    /// Number of hosts at the start.
    pub hosts: usize,
    /// Kinds of hosts, in the order of the file.
    pub host_kinds: Vec<HostKind>,
    /// Maximum number of connections that a host accepts.
    pub max_connections: usize,
    /// Work of a health check, in core seconds.
    pub health_check_work: f64,
    /// Time between updates of the utilization that a host reports in responses; 0: it reports none.
    pub utilization_interval: f64,
    /// Fraction of an operation's work that is saved when its host has seen the key recently.
    pub affinity_gain: f64,
    /// Time for which a host remembers a key.
    pub affinity_duration: f64,
    /// Number of proxies.
    pub proxies: usize,
    /// How a proxy picks a host from its table.
    pub balancing_policy: BalancingPolicy,
    /// Number of slices of the key space; 0: one table for all keys.
    pub slices: u32,
    /// Coefficient of variation of the slices' sizes.
    pub slice_size_cv: f64,
    /// Offered work divided by the hosts' capacity at the start.
    pub load: f64,
    /// Points of time and multiples of the load at them; interpolated linearly.
    pub load_shape: Vec<(f64, f64)>,
    /// Number of keys of a slice.
    pub keys_per_slice: usize,
    /// Recorded operations that replace the drawn ones.
    pub replay: Option<Arc<Trace>>,
    /// Classes of operations, in the order of the file.
    pub classes: Vec<OperationClass>,
    /// How clients retry.
    pub clients: ClientConfig,
    /// Time until the endpoint list shows a host that started, drains or was stopped.
    pub list_add_delay: f64,
    /// Time until the endpoint list shows that a host crashed.
    pub list_removal_delay: f64,
    /// Time between a proxy's load reports.
    pub report_interval: f64,
    /// Time from the sending of a load report until the controllers receive it.
    pub report_delay: f64,
    /// Maximum number of load reports that a controller accepts per second.
    pub reports_per_second: f64,
    /// Maximum number of lines of updates that the channel to the proxies carries per second.
    pub update_lines_per_second: f64,
    /// Longest time that a proxy waits before it reconnects to a controller.
    pub max_reconnect_delay: f64,
    /// Time after which a proxy abandons an attempt to connect to a host.
    pub connect_timeout: f64,
    /// Longest time that an operation waits for a usable host.
    pub no_host_timeout: f64,
    /// Timeout of an attempt that may be followed by another, as a multiple of the contract time.
    pub first_attempt_timeout_fraction: f64,
    /// The limits of the invariants.
    pub limits: Limits,
    /// Faults, in the order of the file.
    pub faults: Vec<ScheduledFault>,
    /// Number of controller processes that share the slices; 1: a single one owns them all.
    pub controllers: usize,
    /// Duration of a slice lease.
    pub lease_duration: f64,
    /// Lease clocks of the controllers, by index, for tests; empty: all follow the system clock.
    pub clocks: Vec<TestClock>,
    /// Guarantees that the store violates, for tests of the invariants.
    pub store_faults: StoreFaults,
    /// A safeguard that the controllers disable, for tests of the invariants.
    pub disabled_safeguard: Option<&'static str>,
}

impl Scenario {
    /// The classes as clients and hosts use them, in the order of the file.
    pub fn emulated_classes(&self) -> Vec<EmulatedClass> {
        self.classes.iter().map(|class| class.properties.clone()).collect()
    }
}
