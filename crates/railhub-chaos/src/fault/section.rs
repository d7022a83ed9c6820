//! Reads one listed fault of a chaos file. Only this module knows the kinds and keys that the file uses.
use super::kind::{Fault, FaultKind, LinkFaults, MAX_DRAWN_CONTROLLERS};
use railhub_ini::{Diagnostic, Section};

/// Maximum start time and maximum duration of a fault, in seconds.
const MAX_FAULT_SECONDS: f64 = 3600.0;

/// Reads the section of one fault in a run with `controllers` controllers.
///
/// # Errors
/// Returns the first error in the section, with its line.
pub fn read_fault(section: &Section, controllers: u16) -> Result<Fault, Diagnostic> {
    let fields = FaultFields { section, controllers };
    let kind_name: String = section.required("kind")?;
    let kind = fields.kind(&kind_name)?;
    let at = section.required_in_range("at", 0.0, MAX_FAULT_SECONDS)?;
    let duration = section.in_range("for", 0.0, 0.0, MAX_FAULT_SECONDS)?;
    Ok(Fault { at, duration, kind })
}

struct FaultFields<'a> {
    section: &'a Section<'a>,
    controllers: u16,
}

impl FaultFields<'_> {
    fn kind(&self, name: &str) -> Result<FaultKind, Diagnostic> {
        let section = self.section;
        Ok(match name {
            "kill" => FaultKind::Kill { controller: self.controller()? },
            "pause" => FaultKind::Pause { controller: self.controller()? },
            "join" => FaultKind::Join { controller: self.controller()? },
            "leave" => FaultKind::Leave { controller: self.controller()? },
            "move" => FaultKind::Move { controller: self.controller()? },
            "twin" => FaultKind::DuplicateId { controller: self.controller()? },
            "backward" => FaultKind::RestartWithLowerNumber { controller: self.controller()? },
            "flap" => FaultKind::Flap { controller: self.controller()? },
            "drain" => FaultKind::Drain { controller: self.controller()? },
            "cut_store" => FaultKind::CutStore { controller: self.controller()? },
            "store_away" => FaultKind::StoreUnavailable,
            "store_loses_answers" => FaultKind::StoreLosesResponses,
            "store_slow" => FaultKind::StoreSlow { delay: self.amount(0.0, 60.0)? },
            "store_forgets" => FaultKind::StoreRollback { age: section.in_range("by", 0.0, 0.0, 60.0)? },
            "slow_orders" => {
                FaultKind::SlowCommands { controller: self.controller()?, max_delay: self.amount(0.0, 10.0)? }
            }
            "drift" => {
                FaultKind::ClockDrift { controller: self.controller()?, fraction: self.amount(-0.1, 0.1)? }
            }
            "jump" => FaultKind::ClockJump {
                controller: self.controller()?,
                seconds: self.amount(-1000.0, 1000.0)?,
            },
            "replay" => FaultKind::Replay,
            "cut" => FaultKind::Cut { from: self.id("from")?, to: self.id("to")? },
            "apart" => FaultKind::SeparatePair { a: self.id("a")?, b: self.id("b")? },
            "starve" => {
                let controller = self.controller()?;
                FaultKind::Starve {
                    controller,
                    running_fraction: section.required_in_range("share", 0.01, 1.0)?,
                }
            }
            "flood" => {
                let count = section.in_range("count", 2000.0, 1.0, 1e6)? as u32;
                FaultKind::Flood { controller: self.controller()?, count }
            }
            "split" => FaultKind::Partition { side: self.side()? },
            "links" => FaultKind::Links { faults: self.link_faults()? },
            other => return Err(section.diagnostic("kind", format!("'{other}' is not known"))),
        })
    }

    fn id(&self, key: &str) -> Result<u16, Diagnostic> {
        let highest_id = f64::from(self.controllers.saturating_sub(1));
        self.section.required_in_range(key, 0.0, highest_id).map(|id| id as u16)
    }

    fn controller(&self) -> Result<u16, Diagnostic> {
        self.id("steward")
    }

    fn amount(&self, min: f64, max: f64) -> Result<f64, Diagnostic> {
        self.section.required_in_range("by", min, max)
    }

    /// The controllers on one side of a partition, as one bit each.
    fn side(&self) -> Result<u32, Diagnostic> {
        let id_limit = self.controllers.min(MAX_DRAWN_CONTROLLERS + 1);
        let mut side = 0;
        for text in self.section.list("side") {
            let id = text.parse::<u16>().ok().filter(|id| *id < id_limit);
            let Some(id) = id else {
                let message = format!("must list controller ids below {id_limit}, as in 0, 1; got '{text}'");
                return Err(self.section.diagnostic("side", message));
            };
            side |= 1 << id;
        }
        Ok(side)
    }

    fn link_faults(&self) -> Result<LinkFaults, Diagnostic> {
        let probability = |key: &str| self.section.in_range(key, 0.0, 0.0, 1.0);
        let seconds = |key: &str| self.section.in_range(key, 0.0, 0.0, 10.0);
        Ok(LinkFaults {
            loss: probability("lost")?,
            duplication: probability("doubled")?,
            reordering: probability("reordered")?,
            delay: seconds("delay")?,
            jitter: seconds("jitter")?,
        })
    }
}
