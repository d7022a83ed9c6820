//! News that are passed on with messages, each a few times. Of each steward one word waits, the latest: whoever
//! tells, and however often, there are no more words than stewards.
use crate::member::Member;
use crate::NodeId;
use std::collections::VecDeque;

/// Times that each word is passed on, times the logarithm of the stewards' number.
const PASSED_ON: f64 = 3.0;

#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    waiting: VecDeque<(Member, u32)>,
}

impl GossipQueue {
    pub fn enqueue_front(&mut self, entry: Member) {
        self.remove(entry.about);
        self.waiting.push_front((entry, 0));
    }

    pub fn tell(&mut self, entry: Member) {
        self.remove(entry.about);
        self.waiting.push_back((entry, 0));
    }

    pub fn remove(&mut self, about: NodeId) {
        self.waiting.retain(|(known, _)| known.about != about);
    }

    /// The next few, least passed on first, without those that the message tells anyway. `endless`: they are never worn
    /// out.
    pub fn take(&mut self, most: usize, told: &[Member], stewards: usize, endless: bool) -> Vec<Member> {
        let limit = (PASSED_ON * (stewards as f64).ln().max(1.0)).ceil() as u32;
        let mut news = Vec::new();
        for _ in 0..self.waiting.len().min(most) {
            if let Some((entry, passed)) = self.waiting.pop_front() {
                if told.iter().any(|known| known.about == entry.about) {
                    self.waiting.push_back((entry, passed));
                    continue;
                }
                news.push(entry.clone());
                if passed + 1 < limit || endless {
                    self.waiting.push_back((entry, passed + 1));
                }
            }
        }
        news
    }

    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
