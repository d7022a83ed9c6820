//! Tests the exclusions against a model of two controllers, their channels and four proxies that apply what they are
//! sent. Random steps break streams and subscriptions, kill and restart controllers and proxies, change the endpoint
//! list and move slices. Once all of that has ended, no proxy may exclude a host that the controller can use.
//!
//! A longer run: `PROPTEST_CASES=200000 cargo test --release -p railhub exclusion_model`; `PROPTEST_RNG_SEED` sets the
//! seed.
mod fleet;

use super::*;
use fleet::Fleet;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};

const CONTROLLERS: usize = 2;
const PROXIES: usize = 4;
const HOSTS: u8 = 6;
const SLICES: u16 = 12;
const SETTLING_TIME: Seconds = 60.0;
const STEP_INTERVAL: Seconds = 0.1;
/// Steps between two ticks of a controller.
const TICK_STEPS: u64 = 10;
/// Seconds from the acceptance of a message by the channel until the proxy applies it.
const TRANSIT_TIME: Seconds = 0.4;
/// Seconds within which all proxies exclude a host that begins to drain while nothing else happens.
const EXCLUSION_TIME: Seconds = TRANSIT_TIME + 2.0 * STEP_INTERVAL;
const CASES: u32 = 3_000;
const SEED: u64 = 45;

/// One random step; numbers of hosts start at 1, all others at 0.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The endpoint list reports a phase of a host.
    ListHost { host: u8, phase: Phase },
    /// The process of a host ends.
    StopHost { host: u8 },
    /// The process of a host starts.
    StartHost { host: u8 },
    /// The stream of a proxy to a controller breaks; messages in transit are lost.
    BreakStream { proxy: usize, controller: usize },
    /// A proxy connects to a running controller.
    OpenStream { proxy: usize, controller: usize },
    /// A proxy starts anew, without state and streams.
    RestartProxy { proxy: usize },
    /// A controller process is killed.
    KillController { controller: usize },
    /// A controller process starts.
    StartController { controller: usize },
    /// A controller no longer learns of streams and acknowledgements.
    BreakSubscription { controller: usize },
    /// A controller receives a snapshot of the streams, and learns of changes from then on.
    Resubscribe { controller: usize },
    /// The channel of a controller stops accepting messages.
    StallChannel { controller: usize },
    /// The channel of a controller accepts the messages that wait, and later ones at once.
    ResumeChannel { controller: usize },
    /// The messages that wait for the channel of a controller are dropped, and the controller subscribes again.
    DropWaitingMessages { controller: usize },
    /// The channel of a controller refuses the exclusions and readmissions of the next message.
    RefuseExclusions { controller: usize },
    /// A slice moves to a controller, if that is running.
    MoveSlice { slice: u16, controller: usize },
    /// Time passes.
    Wait { tenths: u16 },
}

fn step() -> impl Strategy<Value = Step> {
    let (host, proxy, controller) = (|| 1..=HOSTS, || 0..PROXIES, || 0..CONTROLLERS);
    let phase = prop_oneof![Just(Phase::Ready), Just(Phase::Draining), Just(Phase::Gone)];
    prop_oneof![
        6 => (host(), phase).prop_map(|(host, phase)| Step::ListHost { host, phase }),
        3 => host().prop_map(|host| Step::StopHost { host }),
        3 => host().prop_map(|host| Step::StartHost { host }),
        2 => (proxy(), controller()).prop_map(|(proxy, controller)| Step::BreakStream { proxy, controller }),
        4 => (proxy(), controller()).prop_map(|(proxy, controller)| Step::OpenStream { proxy, controller }),
        1 => proxy().prop_map(|proxy| Step::RestartProxy { proxy }),
        1 => controller().prop_map(|controller| Step::KillController { controller }),
        2 => controller().prop_map(|controller| Step::StartController { controller }),
        1 => controller().prop_map(|controller| Step::BreakSubscription { controller }),
        2 => controller().prop_map(|controller| Step::Resubscribe { controller }),
        1 => controller().prop_map(|controller| Step::StallChannel { controller }),
        2 => controller().prop_map(|controller| Step::ResumeChannel { controller }),
        1 => controller().prop_map(|controller| Step::DropWaitingMessages { controller }),
        1 => controller().prop_map(|controller| Step::RefuseExclusions { controller }),
        1 => (0..SLICES, controller()).prop_map(|(slice, controller)| Step::MoveSlice { slice, controller }),
        6 => (1..40u16).prop_map(|tenths| Step::Wait { tenths }),
        2 => (200..260u16).prop_map(|tenths| Step::Wait { tenths }),
    ]
}

/// `CASES` cases from `SEED`, unless the environment says otherwise.
fn run_config() -> Config {
    let default = Config::default();
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { default.cases } else { CASES };
    let is_seeded = std::env::var_os("PROPTEST_RNG_SEED").is_some();
    let rng_seed = if is_seeded { default.rng_seed } else { RngSeed::Fixed(SEED) };
    Config { cases, rng_seed, failure_persistence: None, max_shrink_iters: 20_000, ..default }
}

proptest! {
    #![proptest_config(run_config())]

    /// Once everything but some hosts runs again and time has passed, no proxy excludes a host that the controller can
    /// use, and each proxy excludes a host that begins to drain as soon as the message arrives.
    #[test]
    fn no_proxy_excludes_a_usable_host_once_events_settle(
        steps in proptest::collection::vec(step(), 1..50),
        missing_hosts in proptest::collection::btree_set(1..=HOSTS, 0..3),
        delisted_may_serve in any::<bool>(),
    ) {
        let mut fleet = Fleet::new(ControllerConfig { delisted_may_serve, ..config() });
        for step in steps {
            fleet.apply(step);
        }
        fleet.restore_everything_but(&missing_hosts);
        fleet.wait(SETTLING_TIME);
        let restored: Vec<u8> = (1..=HOSTS).filter(|number| !missing_hosts.contains(number)).collect();
        for number in &restored {
            prop_assert!(fleet.is_usable(*number), "host {number} runs and is listed, but is not usable");
        }
        prop_assert_eq!(fleet.wrongly_excluded(), vec![], "(controller, proxy, host)");
        let tables = fleet.tables.clone();
        fleet.list_host(restored[0], Phase::Draining);
        fleet.wait(EXCLUSION_TIME);
        prop_assert!(fleet.is_excluded_where_named(restored[0], &tables), "a draining host is not excluded");
        prop_assert!(fleet.most_messages_in_window() < config().message_quota as usize);
    }
}
