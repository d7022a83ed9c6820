//! A steward's own trouble. One that was paused, starved or deaf finds everybody missing; it should doubt itself
//! first (Lifeguard: Dadgar, Phillips, Currey 2017). The worse it fares, the longer it waits for answers and before
//! it holds anyone for dead.
use crate::Seconds;

/// Marks against oneself at the most, and how much longer each makes waits: at worst three times as long.
const MARKS_MOST: u32 = 8;
const LONGER: f64 = 0.25;
/// Seconds a turn may come late without a mark.
const LATE: Seconds = 0.15;
/// Marks for a turn that came late, for a probe that neither its target nor any helper had a word on, and for
/// being suspected oneself.
const FOR_LATE: u32 = 2;
const FOR_DEAF: u32 = 1;
const FOR_SUSPECTED: u32 = 1;

/// Marks against oneself.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalHealth {
    marks: u32,
}

impl LocalHealth {
    fn worse(&mut self, by: u32) {
        self.marks = (self.marks + by).min(MARKS_MOST);
    }

    /// A turn came so many seconds after it was due.
    pub fn turned(&mut self, late: Seconds) {
        if late > LATE {
            self.worse(FOR_LATE);
        }
    }

    pub fn heard_nothing(&mut self) {
        self.worse(FOR_DEAF);
    }

    pub fn was_suspected(&mut self) {
        self.worse(FOR_SUSPECTED);
    }

    /// An answer came in time.
    pub fn did_well(&mut self) {
        self.marks = self.marks.saturating_sub(1);
    }

    /// What waits are multiplied with, 1 to 3.
    pub fn patience(&self) -> f64 {
        1.0 + LONGER * f64::from(self.marks)
    }
}

#[cfg(test)]
mod tests;
