//! `railhub traffic`: recorded operations.
use crate::Ending;
use clap::{Args, Subcommand, ValueEnum};
use railhub_invariants::limits;
use railhub_record::{read_partial, PartialRecording};
use railhub_scenario::replay::trace_from_recording;
use railhub_trace::cut::{cut, Selection};
use railhub_trace::file::{open, save};
use railhub_trace::fit::{fit, Candidate, TraceFit};
use railhub_trace::scale::{scale, CopyKeys};
use railhub_trace::show::{summarize, Summary};
use railhub_trace::{Trace, MAX_OPERATIONS};
use std::path::{Path, PathBuf};

#[derive(Args)]
pub struct TrafficArguments {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Takes the operations out of a run's record.
    Record {
        record: PathBuf,
        #[arg(short, long)]
        output: PathBuf,
    },
    /// Sums recorded traffic up.
    Show {
        file: PathBuf,
        /// One JSON object on standard output.
        #[arg(long)]
        json: bool,
    },
    /// Distributions of arrivals, keys and work, with how well they fit.
    Fit {
        file: PathBuf,
        /// One JSON object on standard output.
        #[arg(long)]
        json: bool,
    },
    /// Takes a part of it.
    Cut {
        file: PathBuf,
        #[arg(short, long)]
        output: PathBuf,
        /// Seconds of the recording.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        #[arg(long)]
        until: Option<f64>,
        /// Only these classes and zones, by name.
        #[arg(long)]
        class: Vec<String>,
        #[arg(long)]
        zone: Vec<String>,
    },
    /// Makes more or less of it; bursts and hot keys stay.
    Scale {
        file: PathBuf,
        #[arg(short, long)]
        output: PathBuf,
        /// Times as many operations.
        #[arg(long, default_value_t = 1.0)]
        times: f64,
        /// Times as long.
        #[arg(long, default_value_t = 1.0)]
        stretch: f64,
        /// More of the same users, or more users.
        #[arg(long, value_enum, default_value_t = Copies::SameKeys)]
        copies: Copies,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Copies {
    SameKeys,
    OtherKeys,
}

pub fn run(arguments: &TrafficArguments) -> Result<(), Ending> {
    match &arguments.what {
        What::Record { record, output } => {
            let PartialRecording { events, is_truncated } = read_partial(record)?;
            if is_truncated {
                eprintln!(
                    "{}: cut off; the {} events before the cut are used",
                    record.display(),
                    events.len()
                );
            }
            let limits = limits(&events).ok_or(Ending::Input("the record has no limits".into()))?;
            let mut traffic = trace_from_recording(&events, limits);
            if is_truncated {
                // What came last has not ended: of the last seconds only a part is known.
                let until = events.last().map_or(0.0, |event| event.at) - limits.from - longest_stop(limits);
                traffic = cut(&traffic, &Selection { until: Some(until.max(0.0)), ..Selection::default() });
            }
            save(output, &traffic)?;
        }
        What::Show { file, json } => {
            let summary = summarize(&load(file)?);
            print(*json, &summary, summary_text)?;
        }
        What::Fit { file, json } => {
            let fitted = fit(&load(file)?);
            print(*json, &fitted, fit_text)?;
        }
        What::Cut { file, output, from, until, class, zone } => {
            let traffic = load(file)?;
            let classes = numbers("class", class, &traffic.header.classes)?;
            let zones = numbers("zone", zone, &traffic.header.zones)?;
            let in_order = until.is_none_or(|until| until > *from);
            if from.is_nan() || *from < 0.0 || !in_order {
                return Err(Ending::Input("--from and --until must be in order, from 0".into()));
            }
            save(output, &cut(&traffic, &Selection { from: *from, until: *until, classes, zones }))?;
        }
        What::Scale { file, output, times, stretch, copies, seed } => {
            let sane = |value: f64| (0.0001..=10_000.0).contains(&value);
            if !sane(*times) || !sane(*stretch) {
                return Err(Ending::Input("--times and --stretch may be 0.0001 to 10000".into()));
            }
            let copies = match copies {
                Copies::SameKeys => CopyKeys::SameKeys,
                Copies::OtherKeys => CopyKeys::OtherKeys,
            };
            let traffic = load(file)?;
            if traffic.operations() as f64 * times > MAX_OPERATIONS as f64 {
                return Err(Ending::Input(format!("that would be more than {MAX_OPERATIONS} operations")));
            }
            save(output, &scale(&traffic, *times, *stretch, copies, *seed))?;
        }
    }
    Ok(())
}

fn longest_stop(limits: &railhub_record::Limits) -> f64 {
    limits.classes.iter().map(|class| class.hard_stop).fold(0.0, f64::max)
}

fn load(path: &Path) -> Result<Trace, Ending> {
    let opened = open(path)?;
    if opened.truncated {
        let (rows, length) = (opened.trace.rows.len(), opened.trace.header.length);
        eprintln!("{}: cut off; the {rows} rows before the cut, {length:.1} s, are used", path.display());
    }
    Ok(opened.trace)
}

fn numbers(what: &str, names: &[String], all: &[String]) -> Result<Vec<u32>, Ending> {
    let number = |name: &String| {
        let place = all.iter().position(|known| known == name);
        let unknown = || Ending::Input(format!("no {what} '{name}': there are {}", all.join(", ")));
        place.map(|place| place as u32).ok_or_else(unknown)
    };
    names.iter().map(number).collect()
}

fn print<T: serde::Serialize>(json: bool, value: &T, words: fn(&T) -> String) -> Result<(), Ending> {
    if json {
        println!("{}", serde_json::to_string(value)?);
    } else {
        print!("{}", words(value));
    }
    Ok(())
}

fn summary_text(summary: &Summary) -> String {
    let mut out =
        format!("{} operations in {:.1} s: {:.1} a second", summary.operations, summary.length, summary.rate);
    out += &format!(", {:.0} in the busiest second\n", summary.peak_rate);
    if summary.aggregated > 0 {
        out += &format!("{} of them from sums, without keys, work and moments\n", summary.aggregated);
    }
    if let Some(work) = summary.work_rate {
        out += &format!("{work:.2} cores busy at speed 1\n");
    }
    let part = |count: &u64| *count as f64 / summary.operations.max(1) as f64 * 100.0;
    for (what, all) in [("class", &summary.by_class), ("zone", &summary.by_zone)] {
        for (name, count) in all.iter().filter(|(_, count)| *count > 0) {
            out += &format!("  {what} {name:<20} {count:>9}  {:>5.1} %\n", part(count));
        }
    }
    out += &format!("{} keys\n", summary.keys);
    for (key, share) in &summary.hot_keys {
        out += &format!("  key {key:<22} {:>14.2} %\n", share * 100.0);
    }
    for (slice, share) in &summary.hot_slices {
        out += &format!("  slice {slice:<20} {:>14.2} %\n", share * 100.0);
    }
    out
}

fn candidate(candidate: &Candidate) -> String {
    let parameters = candidate.parameters.iter().map(|(name, value)| format!("{name} {value:.4}"));
    let fits = if candidate.fits { "fits" } else { "does not fit" };
    let parameters = parameters.collect::<Vec<_>>().join(", ");
    let (distance, allowed) = (candidate.distance, candidate.allowed);
    format!("  {:<12} {parameters:<36} distance {distance:.4} of {allowed:.4}: {fits}\n", candidate.name)
}

fn fit_text(fitted: &TraceFit) -> String {
    let mut out = String::new();
    match &fitted.arrivals {
        Some(arrivals) => {
            let rates = arrivals.rates.iter().map(|rate| format!("{rate:.1}")).collect::<Vec<_>>();
            out += &format!("operations a second, by 5 s: {}\n", rates.join(" "));
            out += &format!(
                "bursts: variance over mean of counts in 0.1 s {:.2} (Poisson: 1)\n",
                arrivals.dispersion
            );
            out += "gaps, over the mean gap of their 5 s:\n";
            arrivals.gaps.iter().for_each(|one| out += &candidate(one));
        }
        None => out += "arrivals: no single operations to go by\n",
    }
    match &fitted.keys {
        Some(keys) => {
            let fits = if keys.fits { "fits" } else { "does not fit" };
            out += &format!(
                "{} keys, share by rank to the power of -{:.3}: distance {:.4} of {:.4}: {fits}\n",
                keys.keys, keys.exponent, keys.distance, keys.allowed
            );
            for (key, share) in &keys.outliers {
                out += &format!("  hot beyond the curve: key {key}, {:.2} % of all\n", share * 100.0);
            }
        }
        None => out += "keys: none known\n",
    }
    for work in &fitted.work {
        out += &format!(
            "work of {}, {} operations: as a day's script has it\n  work = {:.5}\n  spread = {:.3}\n",
            work.class, work.values, work.mean, work.spread
        );
        work.candidates.iter().for_each(|one| out += &candidate(one));
    }
    out
}
