//! The operations of a scenario: recorded ones, or a Poisson process whose rate follows the load curve.
use super::fleet::slice_sizes;
use super::load_curve::{offered_rate, peak_rate_multiple, rate_multiple};
use super::operation::{Arrival, PendingOperation};
use super::random::{key_distribution, proxy_weights_by_zone, random_stream, weighted_index};
use crate::replay;
use crate::scenario::Scenario;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Zipf};

/// All operations in the order of their times. `capacity` is the capacity of the hosts at the start.
pub fn arrivals(scenario: &Scenario, capacity: f64) -> Vec<Arrival> {
    match &scenario.replay {
        Some(traffic) => replay::arrivals(scenario, traffic),
        None => ArrivalProcess::new(scenario, capacity).draw_all(),
    }
}

/// Draws operations by thinning: candidates arrive at the peak rate, and each is kept with the probability
/// that is the current rate divided by the peak rate.
struct ArrivalProcess<'a> {
    scenario: &'a Scenario,
    random: ChaCha8Rng,
    slice_sizes: Vec<f64>,
    class_shares: Vec<f64>,
    /// Operations per second at a rate multiple of 1.
    rate: f64,
    /// Candidates per second.
    peak_rate: f64,
    /// Weights of the proxies, by zone.
    proxy_weights: Vec<Vec<f64>>,
    keys: Zipf<f64>,
}

impl ArrivalProcess<'_> {
    fn new(scenario: &Scenario, capacity: f64) -> ArrivalProcess<'_> {
        let mut random = random_stream(scenario.seed, "operations");
        let slice_sizes = slice_sizes(scenario);
        let class_shares: Vec<f64> = scenario.classes.iter().map(|class| class.share).collect();
        let weighted_work = scenario.classes.iter().map(|class| class.share * class.work).sum::<f64>();
        let mean_work = weighted_work / class_shares.iter().sum::<f64>();
        let rate = offered_rate(scenario, capacity, mean_work, &slice_sizes);
        let proxy_weights = proxy_weights_by_zone(scenario, &mut random);
        ArrivalProcess {
            scenario,
            random,
            slice_sizes,
            class_shares,
            rate,
            peak_rate: rate * peak_rate_multiple(scenario),
            proxy_weights,
            keys: key_distribution(scenario),
        }
    }

    fn draw_all(mut self) -> Vec<Arrival> {
        let (mut at, mut arrivals) = (0.0f64, Vec::new());
        loop {
            at += -(1.0 - self.random.random::<f64>()).ln() / self.peak_rate;
            if at >= self.scenario.length {
                return arrivals;
            }
            let rate = self.rate * rate_multiple(self.scenario, at);
            if self.random.random::<f64>() * self.peak_rate >= rate {
                continue;
            }
            let number = arrivals.len() as u64 + 1;
            arrivals.push(self.draw(number, at));
        }
    }

    fn draw(&mut self, number: u64, at: f64) -> Arrival {
        let scenario = self.scenario;
        let class = weighted_index(&mut self.random, &self.class_shares);
        let slice = weighted_index(&mut self.random, &self.slice_sizes);
        let key = self.keys.sample(&mut self.random) as u64 + (slice as u64) * scenario.keys_per_slice as u64;
        let mut operation = PendingOperation::new(class, slice, key, scenario.zone_shares.clone());
        operation.apply_faults(scenario, at, self.slice_sizes.len(), &mut self.random);
        let zone = operation.draw_zone(&mut self.random);
        let work = operation.draw_work(scenario, &mut self.random);
        let proxy = weighted_index(&mut self.random, &self.proxy_weights[zone]);
        Arrival { at, proxy, drawn: operation.finish(number, work) }
    }
}
