//! What one kernel tells of a slice that it gives up, and what the next one makes of it.
use railhub::{
    BarrierId, ClassConfig, EndpointEntry, EndpointList, HostId, Idempotency, KindId, Phase, ProxyId,
    Seconds, SliceAssignment,
};
use railhub::{ControllerConfig, SliceHandoff, SliceId, ZoneId};
use railhub_ini::Document;
use railhub_proto::{LoadReport, SliceLoad, Subscribe};
use railhub_steward::inbox::StreamId;
use railhub_steward::kernel::{ControllerCore, Environment, ProxyChannel, SliceAcquired};
use railhub_steward::outbox::Publication;
use railhub_steward::tables::Change;
use railhub_steward::Installation;
use std::sync::{Arc, Mutex};

/// A proxy that confirms nothing and keeps what it is sent.
#[derive(Clone, Default)]
struct InFlightDelta(Arc<Mutex<Vec<Arc<Publication>>>>);

impl ProxyChannel for InFlightDelta {
    fn push(&self, publication: Arc<Publication>) {
        self.0.lock().expect("whole").push(publication);
    }
    fn settle(&self, _: u64, _: bool) -> Option<Option<BarrierId>> {
        None
    }
    fn is_idle(&self) -> bool {
        true
    }
    fn lines(&self, _: f64) -> f64 {
        0.0
    }
    fn owing_since(&self) -> Option<Seconds> {
        None
    }
    fn folded(&self) -> u64 {
        0
    }
    fn close(&self, _: &str) {}
}

#[derive(Default)]
struct Around {
    handed_on: Vec<(SliceId, u64, SliceHandoff)>,
}

impl Environment for Around {
    fn probe(&mut self, _: HostId) {}
    fn store(&mut self, _: SliceId, _: u64, _: Vec<(HostId, f64)>) {}
    fn hand_on(&mut self, slice: SliceId, epoch: u64, lines: Vec<(HostId, f64)>, state: SliceHandoff) {
        assert!(!lines.is_empty(), "the table goes along");
        self.handed_on.push((slice, epoch, state));
    }
    fn decided(&mut self, _: &str) {}
    fn published(&mut self, _: &Change, _: u64) {}
    fn proxy(&mut self, _: ProxyId, _: &str, _: &str) {}
}

const SLICE: SliceId = SliceId(3);

fn host(n: u16) -> HostId {
    HostId::new(&format!("127.0.0.1:{}", 9000 + n)).expect("a name")
}

fn kernel(process: u64) -> ControllerCore<InFlightDelta> {
    let text =
        "[steward]\nroster = 127.0.0.1:1\nstore = 127.0.0.1:1\nslices = 8\n[class any]\ncontract_time = 1\n\
                [fleet]\nid = 1\ninstallation = test\nshare = yes\n";
    let installation = Installation::read(&Document::parse("s.ini", text).expect("readable")).expect("right");
    let classes =
        vec![ClassConfig { contract_time: 1.0, priority_weight: 1.0, idempotency: Idempotency::Safe }];
    let terms = ControllerConfig { classes, ..installation.terms.clone() };
    let mut kernel = ControllerCore::new(Installation { terms, ..installation }, process, 0.0);
    let entry = |n| EndpointEntry {
        host: host(n),
        phase: Phase::Ready,
        started_at: None,
        weight: 4.0,
        kind: KindId(0),
    };
    kernel.hear_list(EndpointList { complete: true, entries: (1..4).map(entry).collect() });
    kernel
}

fn gained(epoch: u64, state: Option<(SliceHandoff, Seconds)>) -> Vec<SliceAcquired> {
    let charge = SliceAssignment::Assigned { slice: SLICE, entries: vec![(host(1), 1.0).into()] };
    vec![SliceAcquired { charge, epoch, state }]
}

/// A second of the kernel's life, with what a proxy met meanwhile.
fn second(kernel: &mut ControllerCore<InFlightDelta>, now: Seconds, operations: u32, around: &mut Around) {
    let demand = vec![SliceLoad { slice: SLICE.0.into(), class: 0, operations }];
    let sums = LoadReport { span: 1.0, hosts: Vec::new(), slices: demand };
    kernel.take_sums(StreamId(1), ProxyId(0), ZoneId(0), &sums);
    if kernel.ring(now) {
        kernel.flush_sums(now);
    }
    kernel.let_in(now);
    kernel.act(now, || now, around);
}

fn join(kernel: &mut ControllerCore<InFlightDelta>, around: &mut Around) -> InFlightDelta {
    let gate = InFlightDelta::default();
    kernel.join(0.0, StreamId(1), Subscribe { process: 5, ..Subscribe::default() }, gate.clone(), around);
    gate
}

#[test]
fn an_heir_knows_what_a_slice_brought_and_forgets_it_when_that_is_old() {
    let (mut first, mut around) = (kernel(1), Around::default());
    let sent = join(&mut first, &mut around);
    first.hear_grants(0.0, gained(1, None), &[], &[], &mut around);
    (0..6).for_each(|n| second(&mut first, 0.1 + f64::from(n), 40, &mut around));
    first.hear_grants(6.0, Vec::new(), &[SLICE], &[], &mut around);
    let (slice, epoch, state) = around.handed_on.pop().expect("it tells of what it gives up");
    assert_eq!((slice, epoch), (SLICE, 1));
    assert!((25.0..60.0).contains(&state.rate), "{state:?}");
    // Nothing is said of the slice any more, and what was said bears its epoch.
    let before = sent.0.lock().expect("whole").len();
    (6..9).for_each(|n| second(&mut first, 0.1 + f64::from(n), 40, &mut around));
    let said = sent.0.lock().expect("whole").clone();
    assert!(said[..before].iter().any(|publication| publication.change.epochs.get(&SLICE) == Some(&1)));
    assert!(said[before..].iter().all(|publication| publication.change.slices().is_empty()));
    let told = |age: Seconds| {
        let (mut heir, mut around) = (kernel(2), Around::default());
        heir.hear_grants(10.0, gained(2, Some((state, age))), &[], &[], &mut around);
        heir.act(10.0, || 10.0, &mut around);
        heir.hear_grants(10.1, Vec::new(), &[SLICE], &[], &mut around);
        around.handed_on.pop().expect("it tells on").2.rate
    };
    assert!((told(0.3) - state.rate).abs() < 1e-6, "as the former one knew it");
    assert_eq!(told(60.0), 0.0, "a minute old: it begins anew");
}
