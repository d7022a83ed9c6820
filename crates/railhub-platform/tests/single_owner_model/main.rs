//! Tests single owners against a model of the platform: controllers with the real decisions on one relay, which is the
//! store as well, and proxies that write for their lease and read the store late. Random steps break subscriptions, calls
//! and streams, move slices, change endpoint lists and restart processes. Two rules hold at each order that names an
//! owner, as the store carries it out:
//! - the table names no other host, so the order takes effect on the empty table that it was decided on;
//! - no proxy, connected or not, can still have a write at another host.
//!
//! Once everything works again, each slice gets an owner that does not drain.
//!
//! A longer run: `PROPTEST_CASES=100000 cargo test --release -p railhub-platform --test single_owner_model`;
//! `PROPTEST_RNG_SEED` sets the seed.
mod node;
mod proxies;
mod relay;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use world::{Step, World, HOSTS, PROXIES, SLICES};

const CASES: u32 = 20_000;
const SEED: u64 = 51;
const MAX_CONTROLLERS: usize = 2;
const MAX_STEPS: usize = 40;
/// Seconds after the last fault within which each slice has an owner.
const SETTLING_TIME: f64 = 25.0;

fn step() -> impl Strategy<Value = Step> {
    let (controller, proxy, slice) = (|| 0..MAX_CONTROLLERS, || 0..PROXIES, || 0..SLICES);
    let call_fault = prop_oneof![
        Just(relay::CallFault::CallLost),
        Just(relay::CallFault::AnswerLost),
        Just(relay::CallFault::Rejected),
        Just(relay::CallFault::Malformed),
        Just(relay::CallFault::OrderRefused),
    ];
    prop_oneof![
        5 => (proptest::option::of(controller()), 0..HOSTS, any::<bool>())
            .prop_map(|(controller, host, drains)| Step::ListHost { controller, host, drains }),
        4 => (slice(), proptest::option::weighted(0.9, controller()))
            .prop_map(|(slice, controller)| Step::Assign { slice, controller }),
        2 => controller().prop_map(|controller| Step::CutOff { controller }),
        3 => controller().prop_map(|controller| Step::Reconnect { controller }),
        2 => controller().prop_map(|controller| Step::ResetSubscription { controller }),
        1 => controller().prop_map(|controller| Step::SilenceSubscription { controller }),
        1 => controller().prop_map(|controller| Step::ReloadConfiguration { controller }),
        2 => (controller(), call_fault).prop_map(|(controller, fault)| Step::BreakNextCall { controller, fault }),
        3 => (proxy(), controller()).prop_map(|(proxy, controller)| Step::CloseStream { proxy, controller }),
        4 => (proxy(), controller()).prop_map(|(proxy, controller)| Step::OpenStream { proxy, controller }),
        1 => proxy().prop_map(|proxy| Step::RestartProxy { proxy }),
        1 => (controller(), any::<bool>())
            .prop_map(|(controller, closes_streams)| Step::RestartController { controller, closes_streams }),
        7 => (1..15u16).prop_map(|tenths| Step::Wait { tenths }),
        2 => (20..60u16).prop_map(|tenths| Step::Wait { tenths }),
    ]
}

/// A proxy comes, or comes and goes, while a controller is cut off, and a host drains meanwhile.
fn unseen_visit() -> impl Strategy<Value = Vec<Step>> {
    let numbers = (0..PROXIES, 0..MAX_CONTROLLERS, 0..HOSTS, any::<bool>(), any::<bool>());
    (numbers, 4..25u16, 0..12u16).prop_map(|((proxy, controller, host, drains_first, stays), visit, rest)| {
        let drain = Step::ListHost { controller: None, host, drains: true };
        let (early, late) = if drains_first {
            (drain, Step::Wait { tenths: rest })
        } else {
            (Step::Wait { tenths: rest }, drain)
        };
        let visit = [
            Step::CloseStream { proxy, controller },
            Step::CutOff { controller },
            early,
            Step::OpenStream { proxy, controller },
            Step::Wait { tenths: visit },
            late,
        ];
        let end = [
            Step::CloseStream { proxy, controller },
            Step::Reconnect { controller },
            Step::Wait { tenths: 40 },
        ];
        visit.into_iter().chain(end.into_iter().skip(usize::from(stays))).collect()
    })
}

/// A slice goes to another controller and returns while its own is cut off.
fn unseen_handover() -> impl Strategy<Value = Vec<Step>> {
    let numbers = (0..SLICES, 0..MAX_CONTROLLERS, 0..HOSTS);
    (numbers, 0..40u16, 10..70u16, any::<bool>()).prop_map(
        |((slice, controller, host), before, elsewhere, returns_first)| {
            let give_back = Step::Assign { slice, controller: Some(controller) };
            let reconnect = Step::Reconnect { controller };
            let (first, second) = if returns_first { (give_back, reconnect) } else { (reconnect, give_back) };
            vec![
                Step::ListHost { controller: Some(controller), host, drains: true },
                Step::Wait { tenths: before },
                Step::CutOff { controller },
                Step::Assign { slice, controller: Some(controller + 1) },
                Step::Wait { tenths: elsewhere },
                first,
                second,
                Step::Wait { tenths: 20 },
            ]
        },
    )
}

/// Steps that belong together now and then, single ones otherwise.
fn steps() -> impl Strategy<Value = Vec<Step>> {
    let part = prop_oneof![
        20 => step().prop_map(|step| vec![step]),
        2 => unseen_visit(),
        1 => unseen_handover(),
    ];
    proptest::collection::vec(part, 1..MAX_STEPS).prop_map(|parts| parts.concat())
}

/// `CASES` cases from `SEED`, unless the environment says otherwise.
fn run_config() -> Config {
    let default = Config::default();
    let cases = if std::env::var_os("PROPTEST_CASES").is_some() { default.cases } else { CASES };
    let is_seeded = std::env::var_os("PROPTEST_RNG_SEED").is_some();
    let rng_seed = if is_seeded { default.rng_seed } else { RngSeed::Fixed(SEED) };
    Config { cases, rng_seed, failure_persistence: None, max_shrink_iters: 5_000, ..default }
}

proptest! {
    #![proptest_config(run_config())]

    /// Guards against two hosts with writes of one slice, and against a slice that stays without an owner.
    #[test]
    fn no_owner_is_named_while_a_write_may_be_in_progress_elsewhere(
        controllers in 1..=MAX_CONTROLLERS,
        steps in steps(),
        seed in any::<u64>(),
    ) {
        let mut world = World::new(controllers, seed);
        for step in steps {
            world.apply(step);
            prop_assert!(world.violations().is_empty(), "{:?}\n{}", world.violations(), world.trace());
        }
        world.restore();
        world.wait(SETTLING_TIME);
        prop_assert!(world.violations().is_empty(), "{:?}\n{}", world.violations(), world.trace());
        let without_owner = world.slices_without_owner();
        prop_assert!(without_owner.is_empty(), "without owner: {without_owner:?}\n{}", world.trace());
    }
}
