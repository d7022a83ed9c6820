//! A client: comes again when its class allows, and gives up at its hard stop.
use crate::proxy::{Coming, Proxy, ProxyEnd};
use crate::ClassFacts;
use railhub_net::{now, seconds};
use railhub_record::{OperationEnd, Outcome, Recorder, Repeats, What};
use std::sync::Arc;

/// How clients behave on a day. Times in seconds.
#[derive(Clone, Copy, Debug)]
pub struct ClientFacts {
    /// Further comings at the most.
    pub retries: u32,
    /// A try is given up after this share of the hard stop.
    pub try_share: f64,
    pub pause: f64,
}

/// An operation as drawn.
#[derive(Clone, Copy, Debug)]
pub struct Drawn {
    pub operation: u64,
    pub class: u32,
    pub key: u64,
    pub slice: u32,
    pub work: f64,
    /// Share of the hard stop that this client has; below 1 it gives up early.
    pub patience: f64,
    /// It comes again when it has given up.
    pub comes_back: bool,
}

/// One operation from its first coming to its end.
pub fn run(drawn: Drawn, facts: ClientFacts, class: &ClassFacts, proxy: &Arc<Proxy>, recorder: &Recorder) {
    let began = now();
    let until = began + class.hard_stop;
    let (mut comings, mut outcome) = (0, Outcome::GaveUp);
    while comings <= facts.retries || drawn.comes_back && comings <= facts.retries + 1 {
        let patience = class.hard_stop * facts.try_share.min(drawn.patience);
        let left = (until - now()).min(patience);
        if left <= 0.0 {
            break;
        }
        comings += 1;
        let end = proxy.handle(Coming { drawn, coming: comings, wait: left });
        outcome = match end {
            ProxyEnd::Completed if now() - began <= class.contract_time => Outcome::Completed,
            ProxyEnd::Completed => Outcome::Late,
            ProxyEnd::Refused => Outcome::Refused,
            ProxyEnd::Failed => Outcome::Failed,
        };
        let in_window = now() - began <= class.key_window;
        let may_repeat = match class.repeats {
            Repeats::Safe => true,
            Repeats::IdempotencyKeyGlobal => in_window,
            Repeats::IdempotencyKeyLocal | Repeats::Never => false,
        };
        if end == ProxyEnd::Completed || end == ProxyEnd::Failed && !may_repeat {
            break;
        }
        may::coroutine::sleep(seconds(facts.pause * f64::from(comings)));
    }
    let end = OperationEnd {
        operation: drawn.operation,
        class: drawn.class,
        slice: drawn.slice,
        zone: proxy.facts.zone,
        began,
        outcome: outcome.into(),
        comings,
        key: drawn.key,
        work: drawn.work,
        proxy: proxy.facts.number,
    };
    recorder.note(now(), What::Operation(end));
}
