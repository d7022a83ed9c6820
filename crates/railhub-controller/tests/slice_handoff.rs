//! The handoff of a slice from one controller core to the next holder's.
use railhub::{
    ClassConfig, EndpointEntry, EndpointList, HostId, HostKindId, Idempotency, Phase, ProxyId, Seconds,
    WeightedHost,
};
use railhub::{ControllerConfig, SliceHandoff, SliceId, UndeliveredExclusion, ZoneId};
use railhub_controller::change::Change;
use railhub_controller::core::{
    AcquiredSlice, CloseReason, ControllerCore, Environment, LeaseChanges, ProxyChannel, SessionEvent,
    StreamId,
};
use railhub_controller::delta_queue::{DeltaResponse, ResponseEffect};
use railhub_controller::publication::Publication;
use railhub_controller::ControllerSettings;
use railhub_ini::Document;
use railhub_proto::{LoadReport, SliceLoad, Subscribe};
use std::sync::{Arc, Mutex};

/// A channel that records publications and never acknowledges one.
#[derive(Clone, Default)]
struct RecordingChannel(Arc<Mutex<Vec<Arc<Publication>>>>);

impl ProxyChannel for RecordingChannel {
    fn push(&self, publication: Arc<Publication>) {
        self.0.lock().expect("no holder panics").push(publication);
    }
    fn on_response(&self, _: u64, _: DeltaResponse) -> ResponseEffect {
        ResponseEffect::Stale
    }
    fn rejected_exclusions(&self) -> Vec<UndeliveredExclusion> {
        Vec::new()
    }
    fn is_idle(&self) -> bool {
        true
    }
    fn backlog_lines(&self, _: f64) -> f64 {
        0.0
    }
    fn unacknowledged_since(&self) -> Option<Seconds> {
        None
    }
    fn merged(&self) -> u64 {
        0
    }
    fn close(&self, _: CloseReason) {}
}

/// An environment that records handoffs.
#[derive(Default)]
struct RecordingEnvironment {
    handoffs: Vec<(SliceId, u64, SliceHandoff)>,
}

impl Environment for RecordingEnvironment {
    fn check_health(&mut self, _: HostId) {}
    fn store_table(&mut self, _: SliceId, _: u64, _: Vec<WeightedHost>) {}
    fn hand_over(&mut self, slice: SliceId, epoch: u64, entries: Vec<WeightedHost>, handoff: SliceHandoff) {
        assert!(!entries.is_empty(), "the slice's table is stored with the handoff");
        self.handoffs.push((slice, epoch, handoff));
    }
    fn decided(&mut self, _: &str) {}
    fn published(&mut self, _: &Change, _: u64) {}
    fn session_event(&mut self, _: ProxyId, _: SessionEvent) {}
}

const SLICE: SliceId = SliceId(3);

fn host(n: u16) -> HostId {
    HostId::new(&format!("127.0.0.1:{}", 9000 + n)).expect("a valid host name")
}

fn core(process: u64) -> ControllerCore<RecordingChannel> {
    let text =
        "[steward]\nroster = 127.0.0.1:1\nstore = 127.0.0.1:1\nslices = 8\n[class any]\ncontract_time = 1\n\
                [fleet]\nid = 1\ninstallation = test\nshare = yes\n";
    let settings = ControllerSettings::read(&Document::parse("s.ini", text).expect("valid syntax"))
        .expect("valid settings");
    let classes =
        vec![ClassConfig { contract_time: 1.0, priority_weight: 1.0, idempotency: Idempotency::Safe }];
    let config = ControllerConfig { classes, ..settings.config.clone() };
    let mut core = ControllerCore::new(ControllerSettings { config, ..settings }, process, 0.0);
    let entry = |n| EndpointEntry {
        host: host(n),
        phase: Phase::Ready,
        started_at: None,
        weight: 4.0,
        kind: HostKindId(0),
    };
    core.on_endpoint_list(EndpointList { complete: true, entries: (1..4).map(entry).collect() });
    core
}

fn acquired(epoch: u64, handoff: Option<(SliceHandoff, Seconds)>) -> LeaseChanges {
    let entries = vec![(host(1), 1.0).into()];
    let acquired = vec![AcquiredSlice { slice: SLICE, entries, epoch, handoff }];
    LeaseChanges { acquired, ..LeaseChanges::default() }
}

fn lost() -> LeaseChanges {
    LeaseChanges { lost: vec![SLICE], ..LeaseChanges::default() }
}

/// Runs the core for one second, in which a proxy reports so many operations for [`SLICE`].
fn run_one_second(
    core: &mut ControllerCore<RecordingChannel>,
    now: Seconds,
    operations: u32,
    environment: &mut RecordingEnvironment,
) {
    let demand = vec![SliceLoad { slice: SLICE.0.into(), class: 0, operations }];
    let report = LoadReport { span: 1.0, hosts: Vec::new(), slices: demand };
    core.on_load_report(StreamId(1), ProxyId(0), ZoneId(0), &report);
    if core.take_due_timers(now) {
        core.flush_load_reports(now);
    }
    core.admit_sessions(now);
    core.process(now, || now, environment);
}

fn join(
    core: &mut ControllerCore<RecordingChannel>,
    environment: &mut RecordingEnvironment,
) -> RecordingChannel {
    let channel = RecordingChannel::default();
    core.on_subscribe(
        0.0,
        StreamId(1),
        Subscribe { process: 5, ..Subscribe::default() },
        channel.clone(),
        environment,
    );
    channel
}

#[test]
fn next_holder_uses_recent_handoff_and_ignores_old_one() {
    let (mut first_holder, mut environment) = (core(1), RecordingEnvironment::default());
    let channel = join(&mut first_holder, &mut environment);
    first_holder.on_lease_changes(0.0, acquired(1, None), &mut environment);
    (0..6).for_each(|n| run_one_second(&mut first_holder, 0.1 + f64::from(n), 40, &mut environment));
    first_holder.on_lease_changes(6.0, lost(), &mut environment);
    let (slice, epoch, handoff) = environment.handoffs.pop().expect("a lost slice is handed over");
    assert_eq!((slice, epoch), (SLICE, 1));
    assert!((25.0..60.0).contains(&handoff.rate), "{handoff:?}");
    // The slice was published under the epoch of its lease, and is not published any more after its loss.
    let published_before = channel.0.lock().expect("no holder panics").len();
    (6..9).for_each(|n| run_one_second(&mut first_holder, 0.1 + f64::from(n), 40, &mut environment));
    let published = channel.0.lock().expect("no holder panics").clone();
    assert!(published[..published_before]
        .iter()
        .any(|publication| publication.change.epochs.get(&SLICE) == Some(&1)));
    assert!(published[published_before..].iter().all(|publication| publication.change.slices().is_empty()));
    let rate_after = |age: Seconds| {
        let (mut next_holder, mut environment) = (core(2), RecordingEnvironment::default());
        next_holder.on_lease_changes(10.0, acquired(2, Some((handoff, age))), &mut environment);
        next_holder.process(10.0, || 10.0, &mut environment);
        next_holder.on_lease_changes(10.1, lost(), &mut environment);
        environment.handoffs.pop().expect("a lost slice is handed over").2.rate
    };
    assert!((rate_after(0.3) - handoff.rate).abs() < 1e-6, "a recent handoff's rate is used");
    assert_eq!(rate_after(60.0), 0.0, "a handoff that is a minute old is ignored");
}
