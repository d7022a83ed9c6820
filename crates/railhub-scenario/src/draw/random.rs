//! Random streams, and draws from the distributions of a scenario.
use crate::scenario::Scenario;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal, Zipf};

/// Exponent of the Zipf distribution of the keys in a slice.
pub(crate) const KEY_EXPONENT: f64 = 0.7;
/// Coefficient of variation of the proxies' weights in the traffic.
const PROXY_WEIGHT_CV: f64 = 0.7;
/// Constant that is mixed into the seed of each stream.
const STREAM_SALT: u64 = 0x9e37_79b9_7f4a_7c15;
/// Multiplier of the FNV hash by which a purpose's name is mixed into the seed.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The random stream of one purpose.
pub(crate) fn random_stream(seed: u64, purpose: &str) -> ChaCha8Rng {
    let mut mixed = seed ^ STREAM_SALT;
    for byte in purpose.bytes() {
        mixed = (mixed ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    ChaCha8Rng::seed_from_u64(mixed)
}

/// A log-normal draw with a mean and a coefficient of variation.
pub(crate) fn log_normal(random: &mut ChaCha8Rng, mean: f64, cv: f64) -> f64 {
    let sigma = (1.0 + cv * cv).ln().sqrt();
    let distribution = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma);
    distribution.map_or(mean, |distribution| distribution.sample(random))
}

/// An index drawn by its weight.
pub(crate) fn weighted_index(random: &mut ChaCha8Rng, weights: &[f64]) -> usize {
    let mut remaining = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        remaining -= weight;
        if remaining < 0.0 {
            return index;
        }
    }
    weights.len() - 1
}

/// The distribution of keys in a slice.
pub(crate) fn key_distribution(scenario: &Scenario) -> Zipf<f64> {
    Zipf::new(scenario.keys_per_slice as f64, KEY_EXPONENT).expect("at least one key and a positive exponent")
}

/// Draws a weight for each proxy. Returns, for each zone, the weights of all proxies; 0 for those that do not take the
/// zone's traffic.
pub(crate) fn proxy_weights_by_zone(scenario: &Scenario, random: &mut ChaCha8Rng) -> Vec<Vec<f64>> {
    let weights: Vec<f64> = (0..scenario.proxies).map(|_| log_normal(random, 1.0, PROXY_WEIGHT_CV)).collect();
    (0..scenario.zones.len()).map(|zone| proxy_weights(scenario, &weights, zone)).collect()
}

/// A zone's traffic is for the proxies in the zone, or for all proxies if some zone has none.
fn proxy_weights(scenario: &Scenario, weights: &[f64], zone: usize) -> Vec<f64> {
    let zones = scenario.zones.len();
    let some_zone_has_no_proxy = scenario.proxies < zones;
    let weight_in_zone = |(proxy, weight): (usize, &f64)| {
        let takes_traffic = proxy % zones == zone || some_zone_has_no_proxy;
        if takes_traffic {
            *weight
        } else {
            0.0
        }
    };
    weights.iter().enumerate().map(weight_in_zone).collect()
}

/// Chooses up to `count` of the candidates for a fault. The choice for a scenario and a fault is the same on loopback
/// and in the simulator.
pub fn choose_targets(
    scenario: &Scenario,
    fault_index: usize,
    candidates: &[usize],
    count: usize,
) -> Vec<usize> {
    let mut random = random_stream(scenario.seed, &format!("trouble {fault_index}"));
    let mut targets = candidates.to_vec();
    targets.shuffle(&mut random);
    targets.truncate(count);
    targets
}
