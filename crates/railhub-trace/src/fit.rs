//! What recorded traffic looks like as distributions, and how well each fits. The distance is that of
//! Kolmogorov and Smirnov: the largest gap between the recorded and the fitted distribution function. Parameters
//! come from the same values, so what chance allows is taken from Lilliefors' tables (1967, 1969) and not from
//! Kolmogorov's.
use crate::Traffic;
use serde::Serialize;
use statrs::distribution::{ContinuousCDF, Exp, Gamma, LogNormal};
use std::collections::BTreeMap;

/// Times the root of the number of values: distances that chance exceeds in 5 of 100 cases.
const ALLOWED_EXPONENTIAL: f64 = 1.06;
const ALLOWED_OTHERS: f64 = 0.886;
/// Seconds of the windows that bursts are counted in, and of those that the rate is taken to be steady in.
const BURST_WINDOW: f64 = 0.1;
const STEADY: f64 = 5.0;
/// Values below which nothing is fitted.
const LEAST: usize = 30;
/// Exponents of the key curve that are looked at, and how closely.
const EXPONENT_MOST: f64 = 3.0;
const EXPONENT_CLOSE: f64 = 1e-4;
/// A key is off the curve with so many times what the curve gives it, and at least this share of all.
const OFF_TIMES: f64 = 2.0;
const OFF_SHARE: f64 = 0.01;

/// A distribution's distance from what was recorded.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Candidate {
    pub name: &'static str,
    pub parameters: Vec<(&'static str, f64)>,
    pub distance: f64,
    /// The most that chance makes of it in 95 of 100 cases.
    pub allowed: f64,
    pub fits: bool,
}

#[derive(Clone, Debug, Serialize)]
pub struct Arrivals {
    /// Operations a second, by spans of 5 s.
    pub rates: Vec<f64>,
    /// Variance of counts in 0.1 s over their mean; 1 for a Poisson process.
    pub dispersion: f64,
    /// Of the gaps between operations, in units of the mean gap of their 5 s; the nearest first.
    pub gaps: Vec<Candidate>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Keys {
    pub keys: usize,
    /// A key's share goes with its rank to the power of minus this.
    pub exponent: f64,
    pub distance: f64,
    pub allowed: f64,
    pub fits: bool,
    /// Keys with much more than the curve gives them, and their shares.
    pub off_the_curve: Vec<(u64, f64)>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Work {
    pub class: String,
    pub values: usize,
    /// Core seconds.
    pub mean: f64,
    /// Standard deviation over the mean.
    pub spread: f64,
    pub candidates: Vec<Candidate>,
}

#[derive(Clone, Debug, Serialize)]
pub struct Fitted {
    /// None where operations came as sums: their moments are not known.
    pub arrivals: Option<Arrivals>,
    pub keys: Option<Keys>,
    pub work: Vec<Work>,
}

pub fn fit(traffic: &Traffic) -> Fitted {
    let classes = traffic.facts.classes.iter().enumerate();
    let work = classes.filter_map(|(class, name)| {
        let values = traffic.rows.iter().filter(|row| row.class as usize == class).filter_map(|row| row.work);
        work_of(name, values.filter(|work| *work > 0.0).collect())
    });
    Fitted { arrivals: arrivals(traffic), keys: keys(traffic), work: work.collect() }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn variance(values: &[f64]) -> f64 {
    let middle = mean(values);
    mean(&values.iter().map(|value| (value - middle).powi(2)).collect::<Vec<_>>())
}

fn arrivals(traffic: &Traffic) -> Option<Arrivals> {
    let times: Vec<f64> = traffic.rows.iter().filter(|row| row.span == 0.0).map(|row| row.at).collect();
    if times.len() < LEAST {
        return None;
    }
    let length = traffic.facts.length.max(*times.last()?);
    // What is left over at the end belongs to the last whole window: a rate over a sliver would be any number.
    let mut steady = vec![0.0; (length / STEADY).round().max(1.0) as usize];
    let last = steady.len() - 1;
    times.iter().for_each(|at| steady[((at / STEADY) as usize).min(last)] += 1.0);
    let span_of = |n: usize| match n + 1 == steady.len() {
        true => (length - n as f64 * STEADY).max(1e-6),
        false => STEADY,
    };
    let rates: Vec<f64> = steady.iter().enumerate().map(|(n, count)| count / span_of(n)).collect();
    let block_of = |at: &f64| (at / STEADY) as usize;
    let blocks = times.chunk_by(|a, b| block_of(a) == block_of(b));
    let ratio = |block: &[f64]| {
        let mut counts = [0.0; (STEADY / BURST_WINDOW) as usize];
        let begin = block_of(&block[0]) as f64 * STEADY;
        let window = |at: &f64| (((at - begin) / BURST_WINDOW) as usize).min(counts.len() - 1);
        let windows: Vec<usize> = block.iter().map(window).collect();
        windows.into_iter().for_each(|window| counts[window] += 1.0);
        variance(&counts) / mean(&counts)
    };
    let whole = |block: &&[f64]| (block_of(&block[0]) + 1) as f64 * STEADY <= length + BURST_WINDOW;
    let ratios: Vec<f64> = blocks.filter(whole).map(ratio).collect();
    let gaps = times.windows(2).map(|two| {
        let place = ((two[0] / STEADY) as usize).min(rates.len() - 1);
        (two[1] - two[0]) * rates[place]
    });
    let gaps = candidates(gaps.collect());
    Some(Arrivals { rates, dispersion: mean(&ratios), gaps })
}

/// Distributions of positive values, the nearest first.
fn candidates(mut values: Vec<f64>) -> Vec<Candidate> {
    values.retain(|value| *value > 0.0);
    if values.len() < LEAST {
        return Vec::new();
    }
    values.sort_by(f64::total_cmp);
    let middle = mean(&values);
    let logs: Vec<f64> = values.iter().map(|value| value.ln()).collect();
    let (log_mean, log_spread) = (mean(&logs), variance(&logs).sqrt().max(1e-9));
    let shape = gamma_shape(middle.ln() - log_mean);
    let allowed = |factor: f64| factor / (values.len() as f64).sqrt();
    let candidate = |name, parameters, factor: f64, distance: f64| Candidate {
        name,
        parameters,
        distance,
        allowed: allowed(factor),
        fits: distance <= allowed(factor),
    };
    let mut all = Vec::new();
    if let Ok(exponential) = Exp::new(1.0 / middle) {
        let distance = distance(&values, |value| exponential.cdf(value));
        all.push(candidate("exponential", vec![("mean", middle)], ALLOWED_EXPONENTIAL, distance));
    }
    if let Ok(log_normal) = LogNormal::new(log_mean, log_spread) {
        let distance = distance(&values, |value| log_normal.cdf(value));
        let parameters = vec![("log_mean", log_mean), ("log_spread", log_spread)];
        all.push(candidate("log-normal", parameters, ALLOWED_OTHERS, distance));
    }
    if let Ok(gamma) = Gamma::new(shape, shape / middle) {
        let distance = distance(&values, |value| gamma.cdf(value));
        all.push(candidate("gamma", vec![("shape", shape), ("mean", middle)], ALLOWED_OTHERS, distance));
    }
    all.sort_by(|a, b| a.distance.total_cmp(&b.distance));
    all
}

/// The likeliest shape, from the mean's logarithm less the logarithms' mean (Minka 2002, first guess, which is
/// within 1.5 %).
fn gamma_shape(apart: f64) -> f64 {
    let apart = apart.max(1e-9);
    ((3.0 - apart) + ((apart - 3.0).powi(2) + 24.0 * apart).sqrt()) / (12.0 * apart)
}

fn distance(sorted: &[f64], cdf: impl Fn(f64) -> f64) -> f64 {
    let count = sorted.len() as f64;
    let gaps = sorted.iter().enumerate().map(|(n, value)| {
        let at = cdf(*value);
        (at - n as f64 / count).abs().max(((n + 1) as f64 / count - at).abs())
    });
    gaps.fold(0.0, f64::max)
}

fn keys(traffic: &Traffic) -> Option<Keys> {
    let mut counts: BTreeMap<u64, u64> = BTreeMap::new();
    for row in &traffic.rows {
        if let Some(key) = row.key {
            *counts.entry(key).or_default() += u64::from(row.count);
        }
    }
    let all: u64 = counts.values().sum();
    if counts.len() < 2 || (all as usize) < LEAST {
        return None;
    }
    let mut ranked: Vec<(u64, u64)> = counts.into_iter().collect();
    ranked.sort_by_key(|(key, count)| (std::cmp::Reverse(*count), *key));
    let off = hot_beyond(&ranked, all);
    let rest: Vec<u64> = ranked.iter().skip(off).map(|(_, count)| *count).collect();
    let exponent = exponent(&rest);
    let distance = curve_distance(&rest, exponent);
    let allowed = ALLOWED_OTHERS / (rest.iter().sum::<u64>() as f64).sqrt();
    let share = |(key, count): &(u64, u64)| (*key, *count as f64 / all as f64);
    Some(Keys {
        keys: ranked.len(),
        exponent,
        distance,
        allowed,
        fits: distance <= allowed,
        off_the_curve: ranked[..off].iter().map(share).collect(),
    })
}

/// How many of the first ranks have much more than the curve of those after them gives.
fn hot_beyond(ranked: &[(u64, u64)], all: u64) -> usize {
    let most = ranked.len().min(64) - 1;
    let is_off = |rank: usize| {
        let rest: Vec<u64> = ranked[rank + 1..].iter().map(|(_, count)| *count).collect();
        let curve = rest[0] as f64 * 2f64.powf(exponent(&rest));
        let count = ranked[rank].1 as f64;
        count > OFF_TIMES * curve && count > OFF_SHARE * all as f64
    };
    (0..most).rev().find(|rank| is_off(*rank)).map_or(0, |rank| rank + 1)
}

/// The likeliest exponent for counts by rank: the likelihood has one top, so thirds close in on it.
fn exponent(counts: &[u64]) -> f64 {
    let all: f64 = counts.iter().map(|count| *count as f64).sum();
    let logs: Vec<f64> = (1..=counts.len()).map(|rank| (rank as f64).ln()).collect();
    let weighted: f64 = counts.iter().zip(&logs).map(|(count, log)| *count as f64 * log).sum();
    let likelihood = |s: f64| {
        let norm: f64 = logs.iter().map(|log| (-s * log).exp()).sum();
        -s * weighted - all * norm.ln()
    };
    let (mut low, mut high) = (0.0, EXPONENT_MOST);
    while high - low > EXPONENT_CLOSE {
        let third = (high - low) / 3.0;
        if likelihood(low + third) < likelihood(high - third) {
            low += third;
        } else {
            high -= third;
        }
    }
    (low + high) / 2.0
}

fn curve_distance(counts: &[u64], exponent: f64) -> f64 {
    let weights: Vec<f64> = (1..=counts.len()).map(|rank| (rank as f64).powf(-exponent)).collect();
    let (all, norm) = (counts.iter().sum::<u64>() as f64, weights.iter().sum::<f64>());
    let (mut recorded, mut fitted, mut furthest) = (0.0, 0.0, 0.0f64);
    for (count, weight) in counts.iter().zip(&weights) {
        recorded += *count as f64 / all;
        fitted += weight / norm;
        furthest = furthest.max((recorded - fitted).abs());
    }
    furthest
}

fn work_of(class: &str, values: Vec<f64>) -> Option<Work> {
    if values.len() < LEAST {
        return None;
    }
    let middle = mean(&values);
    let spread = variance(&values).sqrt() / middle;
    let count = values.len();
    Some(Work {
        class: class.to_owned(),
        values: count,
        mean: middle,
        spread,
        candidates: candidates(values),
    })
}

#[cfg(test)]
mod tests;
