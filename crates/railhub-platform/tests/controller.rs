//! The controller with the real module: what the relay tells, what is ordered, and how calls end.
use railhub::{
    BarrierAck, BarrierId, ClassId, HealthCheckOutcome, HostId, ProxyId, RetryPolicy, SliceId, WeightedHost,
};
use railhub_platform::{
    Call, CallResponse, Command, NodeConfig, PendingCommands, PlatformController as Core, RelayEvent,
    SubscriptionId,
};
use std::ops::{Deref, DerefMut};

const FILE: &str = include_str!("assignment.json");
const START: f64 = 1_700_000_100.0;

fn assignment() -> NodeConfig {
    // Without probes the module trusts the list, so that a few rounds are enough.
    NodeConfig::parse(&FILE.replace("\"probes\": true", "\"probes\": false")).expect("a good file")
}

fn host(n: u8) -> HostId {
    HostId::new(&format!("s-{n}")).expect("a name")
}

fn given(slice: u16) -> RelayEvent {
    RelayEvent::SliceAssigned { slice: SliceId(slice), assigned: true }
}

fn held(slice: u16, n: u8) -> RelayEvent {
    RelayEvent::StoredEntry { slice: SliceId(slice), line: WeightedHost { host: host(n), weight: 1.0 } }
}

fn joined(proxy: u16) -> RelayEvent {
    RelayEvent::ProxyJoined { proxy: ProxyId(proxy), first: false }
}

/// A controller and the subscription that it hears; each further one is asked for as it comes.
struct PlatformController {
    core: Core,
    source: SubscriptionId,
}

impl PlatformController {
    fn new(assignment: &NodeConfig) -> PlatformController {
        PlatformController { core: Core::new(assignment), source: SubscriptionId::default() }
    }

    fn request_subscription(&mut self) {
        self.source.sequence += 1;
        self.core.on_subscription_requested(self.source);
    }

    fn on_relay_event(&mut self, now: f64, news: RelayEvent) {
        if news == RelayEvent::Subscribed {
            self.request_subscription();
        }
        self.core.on_relay_event(now, self.source, news);
    }
}

impl Deref for PlatformController {
    type Target = Core;

    fn deref(&self) -> &Core {
        &self.core
    }
}

impl DerefMut for PlatformController {
    fn deref_mut(&mut self) -> &mut Core {
        &mut self.core
    }
}

/// What stands, told by a fresh subscription.
fn stands(controller: &mut PlatformController, now: f64, news: &[RelayEvent]) {
    controller.on_relay_event(now, RelayEvent::Subscribed);
    news.iter().for_each(|news| controller.on_relay_event(now, *news));
    controller.on_relay_event(now, RelayEvent::Heartbeat);
}

fn text(call: &Call) -> &str {
    std::str::from_utf8(&call.bytes).expect("text")
}

/// Acts and takes all calls, answered in full; their text.
fn settle(controller: &mut PlatformController, now: f64) -> String {
    controller.poll(now);
    let mut said = String::new();
    while let Some(call) = controller.next_call() {
        said.push_str(text(&call));
        assert!(controller.on_call_ended(Some(CallResponse::Accepted(call.commands))).is_none());
    }
    said
}

#[test]
fn nothing_is_ordered_before_the_relay_has_told_what_stands() {
    let mut controller = PlatformController::new(&assignment());
    assert_eq!(settle(&mut controller, START), "");
    controller.on_relay_event(START, RelayEvent::Subscribed);
    controller.on_relay_event(START, given(3));
    assert_eq!(settle(&mut controller, START + 0.01), "", "the table is not told whole");
    controller.on_relay_event(START + 0.02, held(3, 1));
    assert!(controller.next_deadline().is_some_and(|due| due < START + 0.2));
    let said = settle(&mut controller, START + 0.2);
    assert!(controller.is_synchronized());
    // It keeps the owner that the store names and adds a standby; it never empties the table.
    assert!(said.contains(r#"{"op":"share","table":3,"server":"s-2","weight":0.0001}"#), "{said}");
    assert!(!said.contains("\"weight\":0.0}"), "{said}");
}

#[test]
fn what_stands_replaces_what_was_believed() {
    let mut controller = PlatformController::new(&assignment());
    let first = [joined(1), joined(2), given(3), held(3, 1), given(4), held(4, 1)];
    stands(&mut controller, START, &first);
    settle(&mut controller, START);
    assert_eq!(controller.proxies_joined(), 2);
    // Proxy 2 and slice 4 are absent now; slice 3 is as it was ordered: nothing to say.
    let standby =
        RelayEvent::StoredEntry { slice: SliceId(3), line: WeightedHost { host: host(2), weight: 0.0 } };
    stands(&mut controller, START + 0.1, &[joined(1), given(3), held(3, 1), standby]);
    // The relay tells a standby's weight rounded to 0. Who is shut out is said again, as a proxy may have missed it.
    assert!(!settle(&mut controller, START + 0.1).contains("share"));
    assert_eq!(controller.proxies_joined(), 1);
    // The store lost the standby: it is ordered again, and slice 4 is no more.
    stands(&mut controller, START + 0.2, &[joined(1), given(3), held(3, 1)]);
    let said = settle(&mut controller, START + 0.2);
    assert!(said.contains(r#""table":3,"server":"s-2""#) && !said.contains("\"table\":4"), "{said}");
}

fn orders(call: &Call) -> &str {
    text(call).split_once("orders").expect("a commit").1
}

/// A controller that has ordered slice 3's standby, with that call out.
fn with_a_call_out() -> (PlatformController, Call) {
    let mut controller = PlatformController::new(&assignment());
    stands(&mut controller, START, &[joined(1), given(3), held(3, 1)]);
    controller.poll(START);
    let call = controller.next_call().expect("a standby is ordered");
    (controller, call)
}

fn standby(weight: f64) -> RelayEvent {
    RelayEvent::StoredEntry { slice: SliceId(3), line: WeightedHost { host: host(2), weight } }
}

#[test]
fn a_line_that_waits_counts_as_held_when_the_relay_tells_what_stands() {
    let (mut controller, call) = with_a_call_out();
    // The news breaks while the call is out; its line is not in what stands.
    stands(&mut controller, START + 0.1, &[joined(1), given(3), held(3, 1)]);
    controller.poll(START + 0.1);
    assert!(controller.next_call().is_none(), "one call at a time");
    assert!(controller.on_call_ended(Some(CallResponse::Accepted(call.commands))).is_none());
    controller.poll(START + 0.2);
    assert!(
        !controller.next_call().is_some_and(|call| text(&call).contains("share")),
        "it was no difference"
    );
}

#[test]
fn a_call_without_known_end_is_said_again_only_if_what_stands_since_shows_that_it_was_not_carried_out() {
    for carried_out in [false, true] {
        let (mut controller, call) = with_a_call_out();
        assert!(controller.on_call_ended(None).is_none());
        assert!(controller.take_resubscribe_reason().is_some(), "the relay alone can tell");
        controller.poll(START + 0.1);
        assert!(controller.next_call().is_none(), "carried out, it would wait in the channel twice");
        let table = [joined(1), given(3), held(3, 1), standby(0.0)];
        stands(&mut controller, START + 0.2, &table[..3 + usize::from(carried_out)]);
        controller.poll(START + 0.2);
        let again = controller.next_call();
        if carried_out {
            assert!(!again.is_some_and(|call| text(&call).contains("share")));
            continue;
        }
        let again = again.expect("it was not carried out");
        assert_eq!(orders(&again), orders(&call));
        assert!(again.id > call.id, "an answer to the first must not pass for this one's");
        controller.on_call_ended(Some(CallResponse::Accepted(again.commands)));
        assert!(!controller.next_call().is_some_and(|call| text(&call).contains("share")));
    }
}

#[test]
fn a_subscription_asked_for_before_a_call_ended_shows_nothing_of_it() {
    let (mut controller, _) = with_a_call_out();
    controller.request_subscription();
    let early = controller.source;
    controller.on_call_ended(None);
    assert!(controller.take_resubscribe_reason().is_some());
    // It was told before the call was carried out: by it the call would be said again.
    for news in [RelayEvent::Subscribed, joined(1), given(3), held(3, 1), RelayEvent::Heartbeat] {
        controller.core.on_relay_event(START + 0.1, early, news);
    }
    controller.poll(START + 0.3);
    assert!(controller.next_call().is_none());
    assert!(controller.take_resubscribe_reason().is_some(), "one more is asked for");
    stands(&mut controller, START + 0.4, &[joined(1), given(3), held(3, 1), standby(0.0)]);
    controller.poll(START + 0.4);
    assert!(!controller.next_call().is_some_and(|call| text(&call).contains("share")));
}

#[test]
fn what_stands_shows_a_call_before_all_of_it_counts() {
    let (mut controller, _) = with_a_call_out();
    controller.on_call_ended(None);
    controller.on_relay_event(START + 0.2, RelayEvent::Subscribed);
    [given(3), held(3, 1)].into_iter().for_each(|news| controller.on_relay_event(START + 0.2, news));
    controller.poll(START + 0.25);
    assert!(controller.next_call().is_none(), "the rest may be on its way");
    assert!(controller.next_deadline().is_some_and(|due| due < START + 0.35));
    controller.poll(START + 0.31);
    assert!(controller.next_call().is_some(), "no sign of life need be waited for");
}

#[test]
fn a_slice_that_is_not_told_yet_does_not_pass_for_one_that_is_held_no_more() {
    let mut controller = PlatformController::new(&assignment());
    let tables = [joined(1), given(3), held(3, 1), given(4), held(4, 1)];
    stands(&mut controller, START, &tables);
    controller.poll(START);
    let call = controller.next_call().expect("two standbys");
    controller.on_call_ended(None);
    controller.on_relay_event(START + 0.2, RelayEvent::Subscribed);
    tables[..3].iter().for_each(|news| controller.on_relay_event(START + 0.2, *news));
    // The telling pauses for longer than it takes to see how a call ended.
    controller.poll(START + 0.4);
    assert!(
        controller.next_call().is_none() && controller.next_deadline().is_some_and(|due| due > START + 0.4)
    );
    tables[3..]
        .iter()
        .chain([&RelayEvent::Heartbeat])
        .for_each(|news| controller.on_relay_event(START + 0.5, *news));
    controller.poll(START + 0.5);
    assert_eq!(orders(&controller.next_call().expect("it was not carried out")), orders(&call));
}

#[test]
fn a_line_taken_after_what_stands_was_told_is_not_lost_to_it_in_either_order() {
    // The relay tells slice 3 without the line, then takes the line; the answer overtakes the end of the telling,
    // or even its begin, as the two come on connections of their own.
    for answered_first in [true, false] {
        let (mut controller, call) = with_a_call_out();
        controller.request_subscription();
        let source = controller.source;
        let told = [RelayEvent::Subscribed, joined(1), given(3), held(3, 1)];
        if !answered_first {
            told.into_iter().for_each(|news| controller.core.on_relay_event(START + 0.1, source, news));
        }
        controller.on_call_ended(Some(CallResponse::Accepted(call.commands)));
        if answered_first {
            told.into_iter().for_each(|news| controller.core.on_relay_event(START + 0.1, source, news));
        }
        controller.core.on_relay_event(START + 0.2, source, RelayEvent::Heartbeat);
        controller.poll(START + 0.2);
        let said = controller.next_call();
        assert!(!said.is_some_and(|call| text(&call).contains("share")), "answered first: {answered_first}");
    }
}

#[test]
fn half_of_what_stands_is_not_taken_for_the_whole_when_its_line_ends() {
    let mut controller = PlatformController::new(&assignment());
    stands(&mut controller, START, &[joined(1), joined(2), given(3), held(3, 1), given(4), held(4, 1)]);
    settle(&mut controller, START);
    controller.on_relay_event(START + 1.0, RelayEvent::Subscribed);
    [joined(1), given(3)].into_iter().for_each(|news| controller.on_relay_event(START + 1.0, news));
    let source = controller.source;
    controller.on_subscription_ended(source);
    // The relay stays away for long.
    assert_eq!(settle(&mut controller, START + 20.0), "");
    assert_eq!(controller.proxies_joined(), 2, "what was told whole before holds");
    controller.on_relay_event(START + 21.0, RelayEvent::ProxyLeft(ProxyId(1)));
    stands(&mut controller, START + 22.0, &[joined(1), given(3), held(3, 1), standby(0.0)]);
    settle(&mut controller, START + 22.0);
    assert_eq!(controller.proxies_joined(), 1);
}

#[test]
fn a_first_telling_that_breaks_off_leaves_the_steward_uninformed() {
    let mut controller = PlatformController::new(&assignment());
    controller.on_relay_event(START, RelayEvent::Subscribed);
    controller.on_relay_event(START, given(3));
    let source = controller.source;
    controller.on_subscription_ended(source);
    assert_eq!(settle(&mut controller, START + 5.0), "");
    assert!(!controller.is_synchronized());
}

#[test]
fn an_older_files_subscription_counts_for_nothing_once_a_newer_files_stands() {
    let mut controller = Core::new(&assignment());
    let (older, newer) = (
        SubscriptionId { config_version: 0, sequence: 5 },
        SubscriptionId { config_version: 1, sequence: 4 },
    );
    [older, newer].into_iter().for_each(|source| controller.on_subscription_requested(source));
    for news in [RelayEvent::Subscribed, joined(1), given(3), held(3, 1), RelayEvent::Heartbeat] {
        controller.on_relay_event(START, newer, news);
    }
    for news in [RelayEvent::Subscribed, RelayEvent::ProxyLeft(ProxyId(1)), RelayEvent::Heartbeat] {
        controller.on_relay_event(START + 0.1, older, news);
    }
    controller.on_subscription_ended(older);
    controller.on_relay_event(START + 0.2, newer, joined(2));
    assert_eq!(controller.proxies_joined(), 2);
}

#[test]
fn a_slice_given_while_a_call_about_it_is_out_is_asked_for_anew() {
    let (mut controller, call) = with_a_call_out();
    controller.on_relay_event(START + 0.1, RelayEvent::SliceAssigned { slice: SliceId(3), assigned: false });
    assert!(controller.take_resubscribe_reason().is_none(), "what is not held is changed by no order");
    [given(3), held(3, 1)].into_iter().for_each(|news| controller.on_relay_event(START + 0.11, news));
    assert!(controller.take_resubscribe_reason().is_some(), "its line may be on the table as it is now");
    controller.on_call_ended(Some(CallResponse::Accepted(call.commands)));
    assert!(
        controller.take_resubscribe_reason().is_some() && controller.next_call().is_none(),
        "of which the end is seen now"
    );
    stands(&mut controller, START + 0.3, &[joined(1), given(3), held(3, 1), standby(0.0)]);
    controller.poll(START + 0.3);
    assert!(!controller.next_call().is_some_and(|call| text(&call).contains("share")));
}

#[test]
fn a_probe_that_ends_after_its_host_moved_started_anew_or_went_says_nothing_of_what_is_there_now() {
    let read = NodeConfig::parse(FILE).expect("a good file");
    let page = |generation: u64, address: &str, lifecycle: &str, started: f64| {
        let text = format!(
            "{{\"generation\":{generation},\"reset\":false,\"instances\":[{{\"instanceId\":\"s-1\",\"hostPort\":\
             \"{address}\",\"lifecycle\":\"{lifecycle}\",\"weight\":1,\"startedAtMs\":{started}}}]}}"
        );
        railhub_platform::wire::discovery::decode_page(text.as_bytes(), &read.names).expect("a page")
    };
    let here = "127.0.0.1:7070";
    for (address, lifecycle, started) in
        [("127.0.0.9:7070", "ready", 0.0), (here, "ready", 1.7e12), (here, "gone", 0.0)]
    {
        let mut controller = PlatformController::new(&read);
        stands(&mut controller, START, &[joined(1), given(3), held(3, 2)]);
        let asked = controller.poll(START).probes;
        let probe = asked.into_iter().find(|probe| probe.host == host(1)).expect("it is probed");
        controller.on_endpoint_page(START, &page(42, address, lifecycle, started));
        (0..3).for_each(|_| controller.on_probe_result(&probe, HealthCheckOutcome::Unreachable));
        assert_eq!(controller.probes_outdated(), 3);
        let notices = controller.poll(START + 0.1).notices;
        assert!(!notices.iter().any(|notice| notice.to_string().contains("down")), "{notices:?}");
    }
}

#[test]
fn a_whole_list_under_a_lower_number_counts_once_nothing_newer_has_come_for_long() {
    let read = assignment();
    let page = |generation: u64, whole: bool, name: &str| {
        let text = format!(
            "{{\"generation\":{generation},\"reset\":{whole},\"instances\":[{{\"instanceId\":\"{name}\",\
             \"hostPort\":\"127.0.0.9:1\",\"lifecycle\":\"ready\",\"weight\":1}}]}}"
        );
        railhub_platform::wire::discovery::decode_page(text.as_bytes(), &read.names).expect("a page")
    };
    let mut controller = PlatformController::new(&read);
    assert!(controller.on_endpoint_page(START, &page(60, true, "s-7")));
    assert!(!controller.on_endpoint_page(START + 5.0, &page(3, true, "s-8")), "it may be a late one");
    assert!(
        !controller.on_endpoint_page(START + 20.0, &page(4, false, "s-8")),
        "changes of what is not known"
    );
    assert!(controller.on_endpoint_page(START + 20.0, &page(3, true, "s-8")), "discovery began anew");
    assert!(
        controller.on_endpoint_page(START + 20.1, &page(4, false, "s-9")) && controller.generation() == 4
    );
    assert_eq!(controller.hosts_listed(), 2);
}

#[test]
fn a_call_in_doubt_about_a_slice_that_went_to_another_steward_is_not_said_again() {
    // Both hold desks of their own; the relay carried the call out or not, and gave the slice on meanwhile.
    for carried_out in [true, false] {
        let (mut first, _) = with_a_call_out();
        first.on_call_ended(None);
        first.on_relay_event(START + 0.1, RelayEvent::SliceAssigned { slice: SliceId(3), assigned: false });
        let mut heir = PlatformController::new(&assignment());
        stands(&mut heir, START, &[joined(1)]);
        settle(&mut heir, START);
        let table = [given(3), held(3, 1), standby(0.0)];
        table[..2 + usize::from(carried_out)].iter().for_each(|news| heir.on_relay_event(START + 0.1, *news));
        stands(&mut first, START + 0.2, &[joined(1)]);
        first.poll(START + 0.2);
        assert!(!first.next_call().is_some_and(|call| text(&call).contains("\"table\":3")));
        // The heir says what the table lacks, once.
        assert_eq!(settle(&mut heir, START + 0.2).contains("\"table\":3"), !carried_out);
    }
}

#[test]
fn a_call_said_again_leaves_out_tables_that_are_held_no_more() {
    let mut waiting = PendingCommands::default();
    push_lines(&mut waiting, 3);
    waiting.next_call(&[]).expect("a call");
    // Slice 0 was carried out, slice 1 was not, slice 2 is another's now.
    let standing = [(SliceId(0), vec![(host(1), 1.0).into()]), (SliceId(1), Vec::new())].into();
    waiting.reconcile(&standing);
    let again = waiting.next_call(&[]).expect("one line");
    assert!(again.commands == 1 && text(&again).contains("\"table\":1"), "{}", text(&again));
}

#[test]
fn a_level_for_a_class_that_has_no_name_is_never_said_of_all() {
    let mut waiting = PendingCommands::default();
    waiting.push(Command::SetAdmissionRate { class: ClassId(1), rate: 0.5, retry: RetryPolicy::Never });
    waiting.push(Command::SetAdmissionRate { class: ClassId(0), rate: 0.7, retry: RetryPolicy::Never });
    let call = waiting.next_call(&["view".to_owned()]).expect("a call");
    assert_eq!(waiting.unnamed, 1);
    assert!(
        call.commands == 1 && text(&call).contains("view") && !text(&call).contains('*'),
        "{}",
        text(&call)
    );
}

#[test]
fn lines_that_follow_a_slice_given_later_are_not_missed() {
    let mut controller = PlatformController::new(&assignment());
    stands(&mut controller, START, &[joined(1)]);
    settle(&mut controller, START);
    controller.on_relay_event(START + 0.5, given(7));
    assert_eq!(settle(&mut controller, START + 0.505), "", "its lines may be on their way");
    controller.on_relay_event(START + 0.51, held(7, 2));
    let said = settle(&mut controller, START + 0.55);
    assert!(said.contains(r#""table":7,"server":"s-1","weight":0.0001"#), "{said}");
    controller.on_relay_event(START + 1.2, RelayEvent::SliceAssigned { slice: SliceId(7), assigned: false });
    assert_eq!(settle(&mut controller, START + 1.25), "");
}

#[test]
fn a_line_that_comes_after_its_slice_was_taken_in_is_not_lost() {
    let mut controller = PlatformController::new(&assignment());
    stands(&mut controller, START, &[joined(1), given(7)]);
    settle(&mut controller, START);
    // The table was given empty and got an owner; now the store's own line follows, of a host the module does
    // not want there: it must be known, or it would stay for ever.
    controller.on_relay_event(START + 0.1, held(7, 9));
    let said = settle(&mut controller, START + 0.2);
    assert!(said.contains(r#""table":7,"server":"s-9","weight":0.0"#), "{said}");
}

#[test]
fn orders_about_a_table_that_is_given_anew_are_not_made() {
    let mut controller = PlatformController::new(&assignment());
    stands(&mut controller, START, &[joined(1), given(3), held(3, 1)]);
    controller.poll(START);
    controller.on_relay_event(START + 0.01, RelayEvent::SliceAssigned { slice: SliceId(3), assigned: false });
    assert!(!controller.next_call().is_some_and(|call| text(&call).contains("share")));
}

#[test]
fn a_page_with_a_spoilt_entry_may_be_told_again() {
    let read = assignment();
    let mut controller = PlatformController::new(&read);
    let page = |weight: &str| {
        let text = format!(
            "{{\"generation\":42,\"reset\":false,\"instances\":[{{\"instanceId\":\"s-9\",\
             \"hostPort\":\"127.0.0.9:1\",\"lifecycle\":\"ready\",\"weight\":{weight}}}]}}"
        );
        railhub_platform::wire::discovery::decode_page(text.as_bytes(), &read.names).expect("a page")
    };
    controller.on_endpoint_page(START, &page("-1"));
    assert_eq!((controller.hosts_listed(), controller.generation()), (2, 41));
    assert!(controller.on_endpoint_page(START, &page("1")));
    assert_eq!((controller.hosts_listed(), controller.generation()), (3, 42));
    assert!(!controller.on_endpoint_page(START, &page("1")), "told already");
}

fn push_lines(waiting: &mut PendingCommands, count: u16) {
    (0..count).for_each(|slice| {
        waiting.push(Command::SetWeight {
            slice: SliceId(slice),
            line: WeightedHost { host: host(1), weight: 1.0 },
        })
    });
}

#[test]
fn calls_stay_below_the_relays_limit_and_lose_nothing() {
    let mut waiting = PendingCommands::default();
    push_lines(&mut waiting, 5000);
    let (mut calls, mut orders) = (0, 0);
    while let Some(call) = waiting.next_call(&[]) {
        assert!(call.bytes.len() < 60_000 && call.bytes.ends_with(b"]}}\n"));
        assert_eq!(text(&call).matches("\"op\"").count(), call.commands);
        (calls, orders) = (calls + 1, orders + call.commands);
        assert!(waiting.on_accepted(call.commands).refused.is_none());
    }
    assert_eq!((calls > 3, orders), (true, 5000));
}

#[test]
fn an_order_that_is_not_taken_is_dropped_alone() {
    let mut waiting = PendingCommands::default();
    push_lines(&mut waiting, 5);
    assert_eq!(waiting.next_call(&[]).expect("a call").commands, 5);
    push_lines(&mut waiting, 6);
    assert_eq!(
        waiting.on_accepted(2).refused,
        Some(Command::SetWeight { slice: SliceId(2), line: WeightedHost { host: host(1), weight: 1.0 } })
    );
    let rest = waiting.next_call(&[]).expect("the rest of it first");
    assert_eq!(rest.commands, 2);
    assert!(text(&rest).contains("\"table\":3") && text(&rest).contains("\"table\":4"));
    assert!(waiting.on_accepted(2).refused.is_none());
    assert_eq!(waiting.next_call(&[]).expect("what came meanwhile").commands, 6);
}

#[test]
fn orders_that_wait_fold_by_what_they_are_about_and_are_bounded() {
    let mut waiting = PendingCommands::default();
    waiting.push(Command::SetWeight { slice: SliceId(1), line: WeightedHost { host: host(1), weight: 0.0 } });
    waiting.push(Command::SetWeight { slice: SliceId(1), line: WeightedHost { host: host(2), weight: 1.0 } });
    waiting.push(Command::Exclude(host(2)));
    waiting.push(Command::SetWeight { slice: SliceId(1), line: WeightedHost { host: host(1), weight: 1.0 } });
    waiting.push(Command::Readmit(host(2)));
    let call = waiting.next_call(&[]).expect("a call");
    assert_eq!((call.commands, waiting.folded), (3, 2));
    let said = text(&call);
    assert!(
        said.find("\"s-2\",\"weight\":1.0").expect("kept")
            < said.find("\"s-1\",\"weight\":1.0").expect("last")
    );
    assert!(said.contains("restore") && !said.contains("withdraw"));
    assert_eq!(waiting.table_when_accepted(SliceId(1), &[(host(3), 0.5).into()]).len(), 3);
    waiting.on_accepted(3);
    for slice in 0..u16::MAX {
        waiting.push(Command::SetWeight {
            slice: SliceId(slice),
            line: WeightedHost { host: host(1), weight: 1.0 },
        });
        assert!(waiting.len() <= 20_000);
    }
    assert!(waiting.overflowed, "what was dropped must be asked for anew");
}

/// The number of the acknowledgement marker that a call bears.
fn ticket(call: &Call) -> BarrierId {
    let number = text(call).split("\"ticket\":").nth(1).and_then(|rest| rest.split(',').next());
    BarrierId(number.and_then(|number| number.parse().ok()).expect("a ticket"))
}

#[test]
fn a_proxy_that_joins_while_a_call_is_out_counts_as_one_that_its_lines_wait_for() {
    // 35 proxies and a few lines for each: one such message fits into the backlog's limit, two do not.
    const LATE_PROXIES: std::ops::Range<u16> = 5..35;
    let mut controller = PlatformController::new(&assignment());
    let mut first = vec![given(3), held(3, 1)];
    first.extend((0..LATE_PROXIES.start).map(joined));
    stands(&mut controller, START, &first);
    controller.poll(START);
    let call = controller.next_call().expect("a standby is due");
    LATE_PROXIES.for_each(|proxy| controller.on_relay_event(START + 0.01, joined(proxy)));
    controller.poll(START + 0.02);
    assert!(controller.on_call_ended(Some(CallResponse::Accepted(call.commands))).is_none());
    let drains = FILE
        .replace("\"lifecycle\": \"ready\"", "\"lifecycle\": \"draining\"")
        .replacen("draining", "ready", 1);
    let known = NodeConfig::parse(&drains.replace("\"generation\": 41", "\"generation\": 42"))
        .expect("a good file")
        .known;
    assert!(controller.on_endpoint_page(START + 0.1, &known));
    controller.poll(START + 0.1);
    assert!(controller.next_call().is_none(), "the first message may wait for all that have joined since");
    let mark = ticket(&call);
    for proxy in (0..LATE_PROXIES.end).map(ProxyId) {
        controller.on_relay_event(START + 0.9, RelayEvent::BarrierAcked(BarrierAck { proxy, barrier: mark }));
    }
    controller.poll(START + 1.1);
    assert!(controller.next_call().is_some(), "it has left the channel");
}
