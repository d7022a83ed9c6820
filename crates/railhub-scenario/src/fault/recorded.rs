//! The text that describes a fault in recordings. It is part of the recorded format, so it does not change when the
//! types here are renamed.
use super::{CutDirection, FaultKind, GiveUpReaction, PhantomBehavior, ShiftTarget};

impl FaultKind {
    /// The fault's description in recordings, as in `Slow { hosts: 2, times: 2.5 }`.
    pub fn recorded_note(&self) -> String {
        self.host_note()
            .or_else(|| self.traffic_note())
            .or_else(|| self.dependency_note())
            .or_else(|| self.controller_note())
            .unwrap_or_default()
    }

    fn host_note(&self) -> Option<String> {
        Some(match self {
            FaultKind::Crash { hosts } => format!("Crash {{ hosts: {hosts} }}"),
            FaultKind::Deploy { hosts, batch, drain } => {
                format!("Deploy {{ hosts: {hosts}, batch: {batch}, drain: {drain:?} }}")
            }
            FaultKind::Hang { hosts } => format!("Hang {{ hosts: {hosts} }}"),
            FaultKind::Slow { hosts, factor } => format!("Slow {{ hosts: {hosts}, times: {factor:?} }}"),
            FaultKind::Pauses { hosts, pause, interval } => {
                format!("Pauses {{ hosts: {hosts}, pause: {pause:?}, every: {interval:?} }}")
            }
            FaultKind::NoisyNeighbor { hosts, cpu_fraction, interval } => {
                format!("Neighbour {{ hosts: {hosts}, takes: {cpu_fraction:?}, every: {interval:?} }}")
            }
            FaultKind::ResponsesLost { hosts, fraction } => {
                format!("AnswersLost {{ hosts: {hosts}, share: {fraction:?} }}")
            }
            FaultKind::ZoneOutage { zone, silent } => {
                format!("LostZone {{ zone: {zone}, silent: {silent} }}")
            }
            _ => return None,
        })
    }

    fn traffic_note(&self) -> Option<String> {
        Some(match self {
            FaultKind::HotKey { fraction, keys } => format!("HotKey {{ share: {fraction:?}, keys: {keys} }}"),
            FaultKind::HeavyOperations { fraction, factor } => {
                format!("Heavy {{ share: {fraction:?}, times: {factor:?} }}")
            }
            FaultKind::ClientsGiveUp { fraction, contract_time_multiple, reaction } => {
                let reaction = recorded_reaction(*reaction);
                format!(
                    "GiveUp {{ share: {fraction:?}, patience: {contract_time_multiple:?}, how: {reaction} }}"
                )
            }
            FaultKind::TrafficShift { fraction, target } => {
                format!("Shift {{ share: {fraction:?}, how: {} }}", recorded_target(*target))
            }
            FaultKind::Growth { factor, traffic_ratio } => {
                format!("Growth {{ times: {factor:?}, follows: {traffic_ratio:?} }}")
            }
            FaultKind::SlowZoneLink { zone, other, delay, loss_fraction } => format!(
                "DegradedLink {{ zone: {zone}, other: {other:?}, delay: {delay:?}, lost: {loss_fraction:?} }}"
            ),
            _ => return None,
        })
    }

    fn dependency_note(&self) -> Option<String> {
        Some(match self {
            FaultKind::LateReports { delay } => format!("LateSums {{ by: {delay:?} }}"),
            FaultKind::ListTruncated { hosts } => format!("ListShrinks {{ hosts: {hosts} }}"),
            FaultKind::PhantomHosts { hosts, behaviors } => {
                let kinds: Vec<&str> = behaviors.iter().map(recorded_behavior).collect();
                format!("Ghosts {{ hosts: {hosts}, kinds: [{}] }}", kinds.join(", "))
            }
            FaultKind::ListUnavailable => "ListBreaks".to_owned(),
            FaultKind::StoreUnavailable => "StoreAway".to_owned(),
            FaultKind::StoreSlow { delay } => format!("StoreSlow {{ by: {delay:?} }}"),
            FaultKind::StoreResponsesLost => "StoreLosesAnswers".to_owned(),
            FaultKind::StoreRolledBack { age } => format!("StoreForgets {{ by: {age:?} }}"),
            FaultKind::StreamsReset { fraction } => format!("BrokenStreams {{ share: {fraction:?} }}"),
            FaultKind::UpdateRejected { fraction } => format!("RefusedVersion {{ share: {fraction:?} }}"),
            FaultKind::SlowUpdateChannel { factor } => format!("SlowChannel {{ times: {factor:?} }}"),
            _ => return None,
        })
    }

    fn controller_note(&self) -> Option<String> {
        Some(match self {
            FaultKind::ControllerKilled { controller } => {
                format!("StewardKilled {{ steward: {controller} }}")
            }
            FaultKind::ControllerPaused { controller } => {
                format!("StewardPaused {{ steward: {controller} }}")
            }
            FaultKind::ControllerIsolated { controller, peers, direction } => {
                let direction = recorded_direction(*direction);
                format!("StewardCut {{ steward: {controller}, from: {peers:?}, way: {direction} }}")
            }
            FaultKind::ControllerOneWayCut { from, to } => {
                format!("StewardWay {{ from: {from}, to: {to} }}")
            }
            FaultKind::ControllerDrained { controller } => {
                format!("StewardDrained {{ steward: {controller} }}")
            }
            FaultKind::SlowUpdates { controller, delay } => {
                format!("SlowOrders {{ steward: {controller}, by: {delay:?} }}")
            }
            FaultKind::ControllerPartition { side } => format!("StewardsSplit {{ side: {side:?} }}"),
            FaultKind::ControllerLinksImpaired { loss_fraction, delay } => {
                format!("StewardLinks {{ lost: {loss_fraction:?}, delay: {delay:?} }}")
            }
            _ => return None,
        })
    }
}

fn recorded_behavior(behavior: &PhantomBehavior) -> &'static str {
    match behavior {
        PhantomBehavior::Refuse => "Refuse",
        PhantomBehavior::Error => "Error",
        PhantomBehavior::Silent => "Silent",
    }
}

fn recorded_target(target: ShiftTarget) -> String {
    match target {
        ShiftTarget::Zone(zone) => format!("Zone({zone})"),
        ShiftTarget::HeaviestClass => "Mix".to_owned(),
    }
}

fn recorded_direction(direction: CutDirection) -> &'static str {
    match direction {
        CutDirection::Both => "Both",
        CutDirection::Inbound => "In",
        CutDirection::Outbound => "Out",
    }
}

fn recorded_reaction(reaction: GiveUpReaction) -> &'static str {
    match reaction {
        GiveUpReaction::ExtraRequest => "Leave",
        GiveUpReaction::NoExtraRequest => "Short",
    }
}
