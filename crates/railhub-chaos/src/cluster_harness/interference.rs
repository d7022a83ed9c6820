//! Starvation of a controller's processor time, and replays and floods of datagrams.
use super::harness::ClusterHarness;
use super::link_tap::CapturedDatagram;
use crate::fault::STARVATION_PERIOD;
use railhub_net::seconds;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// Seconds between two replayed datagrams.
const REPLAY_INTERVAL: f64 = 0.000_05;
/// Number of datagrams of a flood that are sent without a pause.
const FLOOD_BATCH: u32 = 50;
/// Seconds between two batches of a flood.
const FLOOD_BATCH_INTERVAL: f64 = 0.001;
/// Size in bytes of a flood's datagram when there is no captured datagram to modify.
const DEFAULT_FLOOD_BYTES: usize = 40;
/// Size in bytes of an oversized datagram in a flood.
const TOO_LONG_BYTES: usize = 2000;

impl ClusterHarness<'_> {
    /// Pauses and resumes a controller in short time slots, so that it runs for a fraction of the time.
    pub(super) fn starve(&mut self, index: usize, controller: u16, running_fraction: f64) {
        let Some(running) = self.current_process(controller) else { return };
        let process = running.process.clone();
        let stop_flag = Arc::new(AtomicBool::new(false));
        self.starvation_stop_flags.insert(index, stop_flag.clone());
        std::thread::spawn(move || {
            while !stop_flag.load(Ordering::Acquire) {
                process.pause();
                std::thread::sleep(seconds(STARVATION_PERIOD * (1.0 - running_fraction)));
                process.resume();
                std::thread::sleep(seconds(STARVATION_PERIOD * running_fraction));
            }
            process.resume();
        });
    }

    fn captured_datagrams(&self) -> Vec<CapturedDatagram> {
        self.link_record.lock().expect("no holder panics").captured.clone()
    }

    /// Sends all captured datagrams again.
    pub(super) fn replay(&self) {
        for CapturedDatagram { from, to, bytes } in self.captured_datagrams() {
            self.links.inject(&from, &to, &bytes);
            std::thread::sleep(seconds(REPLAY_INTERVAL));
        }
    }

    /// Sends corrupt, truncated, oversized and random datagrams to a controller, with another endpoint as the sender.
    pub(super) fn flood(&self, controller: u16, count: u32) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.plan.seed);
        let captured = self.captured_datagrams();
        let to = &self.endpoints[&controller].name;
        let Some(from) = self.endpoints.values().find(|endpoint| endpoint.name != *to) else { return };
        for number in 0..count {
            let bytes = flood_datagram(number, &captured, &mut rng);
            self.links.inject(&from.name, to, &bytes);
            if number % FLOOD_BATCH == 0 {
                std::thread::sleep(seconds(FLOOD_BATCH_INTERVAL));
            }
        }
    }
}

fn flood_datagram(number: u32, captured: &[CapturedDatagram], rng: &mut ChaCha8Rng) -> Vec<u8> {
    let template = captured.get(rng.random_range(0..captured.len().max(1)));
    let mut bytes = template.map_or_else(|| vec![0; DEFAULT_FLOOD_BYTES], |datagram| datagram.bytes.clone());
    let position = rng.random_range(0..bytes.len());
    match number % 4 {
        0 => bytes[position] ^= 1 << rng.random_range(0..8u32),
        1 => bytes.truncate(position),
        2 => bytes.resize(TOO_LONG_BYTES, 7),
        _ => {
            for byte in &mut bytes {
                *byte = rng.random();
            }
        }
    }
    bytes
}
