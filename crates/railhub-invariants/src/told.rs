//! What the steward in charge has been told by the host list.
use railhub_record::{Listed, Roster};
use std::collections::BTreeMap;

#[derive(Clone, Copy, Debug)]
pub struct Word {
    pub listed: Listed,
    pub started: Option<f64>,
    /// When it was first told so.
    pub since: f64,
}

#[derive(Default)]
pub struct Told {
    pub hosts: BTreeMap<String, Word>,
}

impl Told {
    pub fn hear(&mut self, at: f64, roster: &Roster) {
        if roster.whole {
            for (host, word) in &mut self.hosts {
                if !roster.entries.iter().any(|entry| entry.host == *host) && word.listed != Listed::Gone {
                    *word = Word { listed: Listed::Gone, started: None, since: at };
                }
            }
        }
        for entry in &roster.entries {
            let (listed, started) = (entry.listed(), entry.started);
            let same = self.hosts.get(&entry.host).filter(|word| word.listed == listed);
            let since = same.map_or(at, |word| word.since);
            self.hosts.insert(entry.host.clone(), Word { listed, started, since });
        }
    }

    /// The steward's process ended: the next one is told anew.
    pub fn forget(&mut self) {
        self.hosts.clear();
    }
}
