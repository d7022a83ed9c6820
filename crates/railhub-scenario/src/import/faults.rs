//! Converts the faults of the source to the keys of fault sections.
use super::scale::Scale;
use super::source::{seconds, SourceFault, SourceScenario};

const MILLISECONDS_PER_SECOND: f64 = 1000.0;

/// The keys of a fault's section except for its times; none if scenario files do not support its kind. Descriptions of
/// what the section leaves out are added to `left_out`.
pub(super) fn fault_keys(
    fault: &SourceFault,
    source: &SourceScenario,
    scale: &Scale,
    left_out: &mut Vec<String>,
) -> Option<String> {
    let mut translation = Translation { fault, source, scale, left_out };
    translation.host_fault().or_else(|| translation.traffic_fault()).or_else(|| translation.other_fault())
}

struct Translation<'a> {
    fault: &'a SourceFault,
    source: &'a SourceScenario,
    scale: &'a Scale,
    left_out: &'a mut Vec<String>,
}

impl Translation<'_> {
    fn leave_out(&mut self, description: &str) {
        self.left_out.push(description.to_owned());
    }

    fn hosts(&self) -> usize {
        self.scale.count(self.fault.servers.len()).min(self.scale.hosts).max(1)
    }

    fn zone(&self, number: u64) -> &str {
        let zones = &self.source.zones;
        &zones[number as usize % zones.len()]
    }

    fn host_fault(&mut self) -> Option<String> {
        let hosts = self.hosts();
        let (size, extra) = (self.fault.size, self.fault.extra);
        Some(match self.fault.kind.as_str() {
            "crash" => format!("kind = crash\nhosts = {hosts}\n"),
            "hang" => format!("kind = hang\nhosts = {hosts}\n"),
            "slow" => format!("kind = slow\nhosts = {hosts}\ntimes = {size:.3}\n"),
            "pauses" => {
                let pause = size / MILLISECONDS_PER_SECOND;
                format!("kind = pauses\nhosts = {hosts}\npause = {pause:.3}\nevery = {extra:.3}\n")
            }
            "neighbour" => {
                format!("kind = neighbour\nhosts = {hosts}\ntakes = {size:.3}\nevery = {extra:.3}\n")
            }
            "answer_lost" => {
                if self.fault.variant == "reset" {
                    self.leave_out("responses that end with a connection reset: they are lost without one");
                }
                format!("kind = answers_lost\nhosts = {hosts}\nshare = {size:.3}\n")
            }
            "deploy" => self.deploy(),
            "zone_loss" => self.zone_outage(),
            _ => return None,
        })
    }

    fn deploy(&self) -> String {
        let batches = self.fault.steps.iter().map(|step| step.stopped_servers.len());
        let all = self.scale.count(batches.clone().sum()).max(1);
        let batch = self.scale.count(batches.max().unwrap_or(1)).max(1);
        format!("kind = deploy\nhosts = {all}\nbatch = {batch}\ndrain = {:.3}\n", self.fault.extra)
    }

    fn zone_outage(&mut self) -> String {
        if self.fault.size > 0.5 {
            self.leave_out("loss of the proxies and controllers in a failed zone");
        }
        let first_server = self.fault.servers.first().and_then(|index| self.source.servers.get(*index));
        let zone = self.zone(first_server.map_or(0, |server| server.zone) as u64);
        let silent = if self.fault.extra > 0.5 { "yes" } else { "no" };
        format!("kind = lost_zone\nzone = {zone}\nsilent = {silent}\n")
    }

    fn traffic_fault(&mut self) -> Option<String> {
        let (size, extra) = (self.fault.size, self.fault.extra);
        Some(match self.fault.kind.as_str() {
            "grow" => format!("kind = growth\ntimes = {size:.3}\nfollows = {extra:.3}\n"),
            "hot_key" => format!("kind = hot_key\nshare = {size:.4}\nkeys = {}\n", extra.max(1.0) as u32),
            "heavy_tail" => {
                let share = extra / self.source.classes.len().max(1) as f64;
                self.leave_out("heavy operations of one class: they are drawn from all classes");
                format!("kind = heavy\nshare = {share:.5}\ntimes = {size:.3}\n")
            }
            "give_up" => {
                let how = if self.fault.variant == "leave" { "leave" } else { "short" };
                format!("kind = give_up\nshare = {size:.3}\npatience = {extra:.3}\nhow = {how}\n")
            }
            "shift" if self.fault.variant == "zone" => {
                format!("kind = shift\nshare = {size:.3}\nzone = {}\n", self.zone(self.fault.zone_index))
            }
            "shift" => format!("kind = shift\nshare = {size:.3}\n"),
            _ => return None,
        })
    }

    fn other_fault(&mut self) -> Option<String> {
        let size = self.fault.size;
        Some(match self.fault.kind.as_str() {
            "report_late" => format!("kind = late_sums\nby = {size:.3}\n"),
            "origin_slow" => format!("kind = slow_channel\ntimes = {size:.3}\n"),
            "reconnect" => format!("kind = broken_streams\nshare = {size:.3}\n"),
            "slow_link" => self.slow_link(),
            "wrong_list" => return self.wrong_list(),
            _ => return None,
        })
    }

    /// The source gives the delay as a multiple of the shortest contract time.
    fn slow_link(&self) -> String {
        let contract_times = self.source.classes.iter().map(|class| class.contract_time);
        let shortest = seconds(contract_times.fold(f64::INFINITY, f64::min));
        let (zone, delay) = (self.zone(self.fault.zone_index), self.fault.size * shortest);
        let other = match self.fault.variant.as_str() {
            "pair" => format!("other = {}\n", self.zone(self.fault.zone_index + 1)),
            _ => String::new(),
        };
        let lost = self.fault.extra;
        format!("kind = slow_link\nzone = {zone}\n{other}delay = {delay:.3}\nlost = {lost:.3}\n")
    }

    fn wrong_list(&mut self) -> Option<String> {
        let hosts = self.scale.count(self.fault.servers.len()).max(1);
        let all_hosts = self.scale.hosts;
        match self.fault.variant.as_str() {
            "shrink" => Some(format!("kind = list_shrinks\nhosts = {}\n", hosts.min(all_hosts))),
            "empty" => Some(format!("kind = list_shrinks\nhosts = {all_hosts}\n")),
            "ghosts" => Some(format!("kind = ghosts\nhosts = {hosts}\nhow = {}\n", self.phantom_behavior())),
            _ => None,
        }
    }

    /// The source encodes one of four behaviors as a number from 0 to 1, a quarter of the range for each.
    fn phantom_behavior(&mut self) -> &'static str {
        match (self.fault.extra * 4.0) as u32 {
            0 => "refuse",
            1 => {
                self.leave_out("phantom hosts that never answer a connection attempt: they refuse it");
                "refuse"
            }
            2 => "error",
            _ => "silent",
        }
    }
}
