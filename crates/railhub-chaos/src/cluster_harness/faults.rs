//! Begins and ends faults of processes. Cuts, partitions and link faults need no code here: the
//! links are updated after each event.
use super::error::HarnessError;
use super::harness::{ClusterHarness, ScheduledEvent};
use super::process::ControllerProcess;
use crate::fault::{FaultKind, CLOCK_SETBACK_MICROSECONDS, FLAP_HALF_PERIOD};
use crate::view::observation::ViewObservation;
use std::sync::atomic::Ordering;
use std::time::{SystemTime, UNIX_EPOCH};

impl ClusterHarness<'_> {
    pub(super) fn begin_fault(&mut self, index: usize) -> Result<(), HarnessError> {
        let fault = &self.plan.faults[index];
        let ends_at = fault.at + fault.duration;
        self.observe_fault(&fault.kind, true);
        self.active_faults.begin(index);
        self.queue.schedule(ends_at, ScheduledEvent::FaultEnds(index));
        match fault.kind {
            FaultKind::Kill { controller } | FaultKind::RestartWithLowerNumber { controller } => {
                self.stop(controller, ControllerProcess::kill);
            }
            FaultKind::Leave { controller } => self.stop(controller, ControllerProcess::leave),
            FaultKind::Pause { controller } => {
                if let Some(running) = self.current_process(controller) {
                    running.process.pause();
                }
            }
            FaultKind::Starve { controller, running_fraction } => {
                self.starve(index, controller, running_fraction)
            }
            FaultKind::Flap { .. } => self.flap(index, ends_at)?,
            FaultKind::Move { controller } => {
                self.stop(controller, ControllerProcess::kill);
                self.add_endpoint(controller, format!("{controller} moved {index}"))?;
                self.start(controller, None)?;
            }
            FaultKind::Join { controller } => self.start_if_down(controller, None)?,
            FaultKind::DuplicateId { controller } => {
                self.add_endpoint(controller, format!("{controller} twin {index}"))?;
                self.start(controller, None)?;
            }
            FaultKind::SeparatePair { a, b } => self.active_faults.separate(a, b),
            FaultKind::Replay => self.replay(),
            FaultKind::Flood { controller, count } => self.flood(controller, count),
            _ => {}
        }
        Ok(())
    }

    pub(super) fn end_fault(&mut self, index: usize) -> Result<(), HarnessError> {
        self.active_faults.end(index);
        let kind = &self.plan.faults[index].kind;
        match *kind {
            FaultKind::Kill { controller }
            | FaultKind::Flap { controller }
            | FaultKind::Leave { controller } => self.start_if_down(controller, None)?,
            FaultKind::RestartWithLowerNumber { controller } => {
                let process = microseconds_since_epoch() - CLOCK_SETBACK_MICROSECONDS;
                self.start_if_down(controller, Some(process))?;
            }
            FaultKind::Pause { controller } => self.resume(controller),
            FaultKind::Starve { .. } => {
                if let Some(stop_flag) = self.starvation_stop_flags.remove(&index) {
                    stop_flag.store(true, Ordering::Release);
                }
            }
            _ => {}
        }
        self.observe_fault(kind, false);
        Ok(())
    }

    fn observe_fault(&self, kind: &FaultKind, begins: bool) {
        self.observe(ViewObservation::Fault { at: self.elapsed(), begins, fault: kind.clone() });
    }

    fn start_if_down(&mut self, controller: u16, process: Option<u64>) -> Result<(), HarnessError> {
        if self.current_nodes.contains_key(&controller) {
            return Ok(());
        }
        self.start(controller, process)
    }

    /// Resumes a controller, unless another pause of the same controller is in force.
    fn resume(&self, controller: u16) {
        if self.active_faults.includes(self.plan.faults, &FaultKind::Pause { controller }) {
            return;
        }
        if let Some(running) = self.current_process(controller) {
            running.process.resume();
        }
    }

    /// Kills a flapping controller if it is running, starts it if it is not, and schedules the next change until the fault
    /// ends.
    pub(super) fn flap(&mut self, index: usize, until: f64) -> Result<(), HarnessError> {
        let FaultKind::Flap { controller } = self.plan.faults[index].kind else { return Ok(()) };
        if self.elapsed() >= until {
            return Ok(());
        }
        if self.current_nodes.contains_key(&controller) {
            self.stop(controller, ControllerProcess::kill);
        } else {
            self.start(controller, None)?;
        }
        let next_toggle_at = self.elapsed() + FLAP_HALF_PERIOD;
        self.queue.schedule(next_toggle_at, ScheduledEvent::FlapToggle { index, until });
        Ok(())
    }
}

fn microseconds_since_epoch() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.unwrap_or_default().as_micros() as u64
}
