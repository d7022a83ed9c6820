//! `[trouble NAME]`: a fault. The names of its kind and its keys are mapped to types only here.
use crate::fault::{CutDirection, FaultKind, GiveUpReaction, PhantomBehavior, ScheduledFault, ShiftTarget};
use crate::scenario::Scenario;
use railhub_ini::{Diagnostic, Section};

/// Prefix of the headers of fault sections.
pub(super) const FAULT_PREFIX: &str = "trouble ";
/// Groups of peers from which a controller can be isolated.
const PEER_GROUPS: [&str; 4] = ["stewards", "store", "list", "proxies"];

/// Reads one fault of a scenario.
pub(super) fn scheduled_fault(section: &Section, scenario: &Scenario) -> Result<ScheduledFault, Diagnostic> {
    let reader = FaultReader { section, scenario };
    let kind_name: String = section.required("kind")?;
    let fault = ScheduledFault {
        kind: reader.kind(&kind_name)?,
        name: section.name[FAULT_PREFIX.len()..].trim().to_owned(),
        kind_name,
        at: section.required_in_range("at", 0.0, scenario.length)?,
        duration: section.in_range("for", 0.0, 0.0, 3600.0)?,
    };
    section.reject_unread_keys()?;
    Ok(fault)
}

struct FaultReader<'a> {
    section: &'a Section<'a>,
    scenario: &'a Scenario,
}

impl FaultReader<'_> {
    fn kind(&self, name: &str) -> Result<FaultKind, Diagnostic> {
        let groups = [
            FaultReader::host_fault,
            FaultReader::traffic_fault,
            FaultReader::dependency_fault,
            FaultReader::controller_fault,
        ];
        for group in groups {
            if let Some(kind) = group(self, name)? {
                return Ok(kind);
            }
        }
        Err(self.section.diagnostic("kind", format!("'{name}' is not known")))
    }

    fn host_fault(&self, name: &str) -> Result<Option<FaultKind>, Diagnostic> {
        let section = self.section;
        Ok(Some(match name {
            "crash" => FaultKind::Crash { hosts: self.hosts()? },
            "deploy" => FaultKind::Deploy {
                hosts: self.hosts()?,
                batch: section.in_range("batch", 1.0, 1.0, 1000.0)? as usize,
                drain: section.in_range("drain", 4.0, 0.0, 600.0)?,
            },
            "hang" => FaultKind::Hang { hosts: self.hosts()? },
            "slow" => FaultKind::Slow { hosts: self.hosts()?, factor: self.factor()? },
            "pauses" => FaultKind::Pauses {
                hosts: self.hosts()?,
                pause: section.required_in_range("pause", 0.0, 60.0)?,
                interval: section.required_in_range("every", 0.01, 600.0)?,
            },
            "neighbour" => FaultKind::NoisyNeighbor {
                hosts: self.hosts()?,
                cpu_fraction: section.required_in_range("takes", 0.0, 0.95)?,
                interval: section.required_in_range("every", 0.01, 600.0)?,
            },
            "answers_lost" => FaultKind::ResponsesLost { hosts: self.hosts()?, fraction: self.fraction()? },
            "lost_zone" => {
                FaultKind::ZoneOutage { zone: self.required_zone()?, silent: section.flag("silent", false)? }
            }
            _ => return Ok(None),
        }))
    }

    fn traffic_fault(&self, name: &str) -> Result<Option<FaultKind>, Diagnostic> {
        let section = self.section;
        Ok(Some(match name {
            "hot_key" => FaultKind::HotKey {
                fraction: self.fraction()?,
                keys: section.in_range("keys", 1.0, 1.0, 100.0)? as usize,
            },
            "heavy" => FaultKind::HeavyOperations { fraction: self.fraction()?, factor: self.factor()? },
            "give_up" => FaultKind::ClientsGiveUp {
                fraction: self.fraction()?,
                contract_time_multiple: section.required_in_range("patience", 0.01, 10.0)?,
                reaction: self.give_up_reaction()?,
            },
            "shift" => FaultKind::TrafficShift { fraction: self.fraction()?, target: self.shift_target()? },
            "growth" => FaultKind::Growth {
                factor: self.factor()?,
                traffic_ratio: section.in_range("follows", 1.0, 0.0, 2.0)?,
            },
            "slow_link" => FaultKind::SlowZoneLink {
                zone: self.required_zone()?,
                other: self.zone("other")?,
                delay: section.required_in_range("delay", 0.0, 60.0)?,
                loss_fraction: section.in_range("lost", 0.0, 0.0, 1.0)?,
            },
            _ => return Ok(None),
        }))
    }

    fn dependency_fault(&self, name: &str) -> Result<Option<FaultKind>, Diagnostic> {
        let section = self.section;
        Ok(Some(match name {
            "late_sums" => FaultKind::LateReports { delay: section.required_in_range("by", 0.0, 600.0)? },
            "list_shrinks" => FaultKind::ListTruncated { hosts: self.hosts()? },
            "ghosts" => {
                FaultKind::PhantomHosts { hosts: self.hosts()?, behaviors: self.phantom_behaviors()? }
            }
            "list_breaks" => FaultKind::ListUnavailable,
            "store_away" => FaultKind::StoreUnavailable,
            "store_slow" => FaultKind::StoreSlow { delay: section.required_in_range("by", 0.0, 60.0)? },
            "store_loses_answers" => FaultKind::StoreResponsesLost,
            "store_forgets" => FaultKind::StoreRolledBack { age: section.in_range("by", 0.0, 0.0, 60.0)? },
            "broken_streams" => FaultKind::StreamsReset { fraction: self.fraction()? },
            "refused_version" => FaultKind::UpdateRejected { fraction: self.fraction()? },
            "slow_channel" => FaultKind::SlowUpdateChannel { factor: self.factor()? },
            _ => return Ok(None),
        }))
    }

    fn controller_fault(&self, name: &str) -> Result<Option<FaultKind>, Diagnostic> {
        let section = self.section;
        Ok(Some(match name {
            "steward_killed" => FaultKind::ControllerKilled { controller: self.controller()? },
            "steward_paused" => FaultKind::ControllerPaused { controller: self.controller()? },
            "steward_cut" => FaultKind::ControllerIsolated {
                controller: self.controller()?,
                peers: self.peer_groups()?,
                direction: self.cut_direction()?,
            },
            "steward_way" => FaultKind::ControllerOneWayCut {
                from: self.required_controller("from")?,
                to: self.required_controller("to")?,
            },
            "steward_drained" => FaultKind::ControllerDrained { controller: self.controller()? },
            "slow_orders" => FaultKind::SlowUpdates {
                controller: self.controller()?,
                delay: section.required_in_range("by", 0.0, 10.0)?,
            },
            "stewards_split" => FaultKind::ControllerPartition { side: self.partition_side()? },
            "steward_links" => FaultKind::ControllerLinksImpaired {
                loss_fraction: section.in_range("lost", 0.0, 0.0, 1.0)?,
                delay: section.in_range("delay", 0.0, 0.0, 10.0)?,
            },
            _ => return Ok(None),
        }))
    }

    /// `hosts = 2`, or `part = 0.1`: a fraction of the hosts at the start, at least one host if it is not 0.
    fn hosts(&self) -> Result<usize, Diagnostic> {
        let fraction = self.section.in_range("part", 0.0, 0.0, 1.0)?;
        let min_hosts = usize::from(fraction > 0.0);
        let default_hosts = ((fraction * self.scenario.hosts as f64).round() as usize).max(min_hosts);
        let hosts = self.section.value_or("hosts", default_hosts)?;
        if hosts == 0 {
            return Err(self.section.diagnostic(
                "hosts",
                "is missing: give a number, as in hosts = 2, or a fraction of the hosts, as in part = 0.1",
            ));
        }
        Ok(hosts)
    }

    fn fraction(&self) -> Result<f64, Diagnostic> {
        self.section.required_in_range("share", 0.0, 1.0)
    }

    fn factor(&self) -> Result<f64, Diagnostic> {
        self.section.required_in_range("times", 1.0, 1000.0)
    }

    fn zone(&self, key: &str) -> Result<Option<u32>, Diagnostic> {
        let Some(name) = self.section.text(key) else { return Ok(None) };
        match self.scenario.zones.iter().position(|zone| zone == name) {
            Some(index) => Ok(Some(index as u32)),
            None => {
                let zones = self.scenario.zones.join(", ");
                Err(self.section.diagnostic(key, format!("'{name}' is not one of the zones {zones}")))
            }
        }
    }

    fn required_zone(&self) -> Result<u32, Diagnostic> {
        self.zone("zone")?.ok_or_else(|| self.section.diagnostic("zone", "is missing"))
    }

    fn shift_target(&self) -> Result<ShiftTarget, Diagnostic> {
        Ok(self.zone("zone")?.map_or(ShiftTarget::HeaviestClass, ShiftTarget::Zone))
    }

    fn give_up_reaction(&self) -> Result<GiveUpReaction, Diagnostic> {
        let choices = [("leave", GiveUpReaction::ExtraRequest), ("short", GiveUpReaction::NoExtraRequest)];
        self.section.choice("how", "short", &choices)
    }

    fn phantom_behaviors(&self) -> Result<Vec<PhantomBehavior>, Diagnostic> {
        let names = match self.section.list("how") {
            names if names.is_empty() => vec!["refuse".to_owned()],
            names => names,
        };
        let choices = [
            ("refuse", PhantomBehavior::Refuse),
            ("error", PhantomBehavior::Error),
            ("silent", PhantomBehavior::Silent),
        ];
        names.iter().map(|name| self.section.parse_choice("how", name, &choices)).collect()
    }

    fn last_controller(&self) -> f64 {
        self.scenario.controllers as f64 - 1.0
    }

    fn controller(&self) -> Result<usize, Diagnostic> {
        let controller = self.section.in_range("steward", 0.0, 0.0, self.last_controller())?;
        Ok(controller as usize)
    }

    fn required_controller(&self, key: &str) -> Result<usize, Diagnostic> {
        let controller = self.section.required_in_range(key, 0.0, self.last_controller())?;
        Ok(controller as usize)
    }

    /// `from = stewards, store, list, proxies`.
    fn peer_groups(&self) -> Result<Vec<String>, Diagnostic> {
        let names = self.section.list("from");
        let all_known = names.iter().all(|name| PEER_GROUPS.contains(&name.as_str()));
        if names.is_empty() || !all_known {
            return Err(self
                .section
                .diagnostic("from", "must name one or more of stewards, store, list, proxies"));
        }
        Ok(names)
    }

    fn cut_direction(&self) -> Result<CutDirection, Diagnostic> {
        let choices =
            [("both", CutDirection::Both), ("in", CutDirection::Inbound), ("out", CutDirection::Outbound)];
        self.section.choice("way", "both", &choices)
    }

    /// `side = 0, 1`.
    fn partition_side(&self) -> Result<Vec<usize>, Diagnostic> {
        let names = self.section.list("side");
        let side: Option<Vec<usize>> = names.iter().map(|name| self.parse_controller(name)).collect();
        side.filter(|side| !side.is_empty())
            .ok_or_else(|| self.section.diagnostic("side", "must list indexes of controllers, as in 0, 1"))
    }

    fn parse_controller(&self, name: &str) -> Option<usize> {
        let controller = name.parse().ok()?;
        (controller < self.scenario.controllers).then_some(controller)
    }
}
