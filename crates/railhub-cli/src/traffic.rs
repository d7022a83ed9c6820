//! `railhub traffic`: workload traces.
use crate::report_output::print_report;
use crate::CommandError;
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
    command: TrafficCommand,
}

#[derive(Subcommand)]
enum TrafficCommand {
    /// Extracts the operations of a recorded run as a trace.
    Record {
        /// Recording of a run; may be cut off.
        record: PathBuf,
        /// Trace file to write.
        #[arg(short, long)]
        output: PathBuf,
    },
    /// Summarizes a trace: rates, classes, zones, and the hottest keys and slices.
    Show {
        /// Trace file.
        file: PathBuf,
        /// Print the summary as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Fits distributions to the arrivals, keys and work of a trace, with their goodness of fit.
    Fit {
        /// Trace file.
        file: PathBuf,
        /// Print the fits as one JSON object.
        #[arg(long)]
        json: bool,
    },
    /// Selects a part of a trace by time, class and zone.
    Cut {
        /// Trace file.
        file: PathBuf,
        /// Trace file to write.
        #[arg(short, long)]
        output: PathBuf,
        /// Start of the part, in seconds from the start of the trace.
        #[arg(long, default_value_t = 0.0)]
        from: f64,
        /// End of the part, in seconds from the start of the trace; default: the end of the trace.
        #[arg(long)]
        until: Option<f64>,
        /// Keep operations of this class; can be given several times. Default: all classes.
        #[arg(long)]
        class: Vec<String>,
        /// Keep operations of this zone; can be given several times. Default: all zones.
        #[arg(long)]
        zone: Vec<String>,
    },
    /// Scales a trace to more or fewer operations or to another length; bursts and hot keys are preserved.
    Scale {
        /// Trace file.
        file: PathBuf,
        /// Trace file to write.
        #[arg(short, long)]
        output: PathBuf,
        /// Factor of the number of operations, 0.0001 to 10000.
        #[arg(long, default_value_t = 1.0)]
        times: f64,
        /// Factor of the length in time, 0.0001 to 10000.
        #[arg(long, default_value_t = 1.0)]
        stretch: f64,
        /// Keys of the operations that are added.
        #[arg(long, value_enum, default_value_t = Copies::SameKeys)]
        copies: Copies,
        /// Seed of the random choice of operations.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Copies {
    /// The original's key, as if the same users made more requests: hot keys get hotter.
    SameKeys,
    /// Keys of their own, as if there were more users: each as hot as the original's.
    OtherKeys,
}

pub fn run(arguments: &TrafficArguments) -> Result<(), CommandError> {
    match &arguments.command {
        TrafficCommand::Record { record, output } => {
            let PartialRecording { events, is_truncated } = read_partial(record)?;
            if is_truncated {
                eprintln!(
                    "{}: cut off; the {} events before the cut are used",
                    record.display(),
                    events.len()
                );
            }
            let limits = limits(&events).ok_or_else(|| {
                let path = record.display();
                CommandError::Input(format!("{path}: the recording does not state the limits of its run"))
            })?;
            let mut traffic = trace_from_recording(&events, limits);
            if is_truncated {
                // An operation is recorded when it ends, so some that started shortly before the cut are missing. The
                // trace ends so long before the cut that all of its operations had ended.
                let until = events.last().map_or(0.0, |event| event.at) - limits.from - max_hard_stop(limits);
                traffic = cut(&traffic, &Selection { until: Some(until.max(0.0)), ..Selection::default() });
            }
            save(output, &traffic)?;
        }
        TrafficCommand::Show { file, json } => {
            let summary = summarize(&load(file)?);
            print_report(&summary, *json, summary_text)?;
        }
        TrafficCommand::Fit { file, json } => {
            let fitted = fit(&load(file)?);
            print_report(&fitted, *json, fit_text)?;
        }
        TrafficCommand::Cut { file, output, from, until, class, zone } => {
            let traffic = load(file)?;
            let classes = indexes("class", class, &traffic.header.classes)?;
            let zones = indexes("zone", zone, &traffic.header.zones)?;
            let in_order = until.is_none_or(|until| until > *from);
            if from.is_nan() || *from < 0.0 || !in_order {
                return Err(CommandError::Input(format!(
                    "--from {from}: must be 0 or more, and less than --until"
                )));
            }
            save(output, &cut(&traffic, &Selection { from: *from, until: *until, classes, zones }))?;
        }
        TrafficCommand::Scale { file, output, times, stretch, copies, seed } => {
            let is_valid_factor = |value: f64| (0.0001..=10_000.0).contains(&value);
            if !is_valid_factor(*times) || !is_valid_factor(*stretch) {
                return Err(CommandError::Input(format!(
                    "--times {times}, --stretch {stretch}: both must be from 0.0001 to 10000"
                )));
            }
            let copies = match copies {
                Copies::SameKeys => CopyKeys::SameKeys,
                Copies::OtherKeys => CopyKeys::OtherKeys,
            };
            let traffic = load(file)?;
            if traffic.operations() as f64 * times > MAX_OPERATIONS as f64 {
                return Err(CommandError::Input(format!(
                    "--times {times}: the result would have more than {MAX_OPERATIONS} operations"
                )));
            }
            save(output, &scale(&traffic, *times, *stretch, copies, *seed))?;
        }
    }
    Ok(())
}

/// Seconds after which the clients of any class have given up.
fn max_hard_stop(limits: &railhub_record::Limits) -> f64 {
    limits.classes.iter().map(|class| class.hard_stop).fold(0.0, f64::max)
}

fn load(path: &Path) -> Result<Trace, CommandError> {
    let opened = open(path)?;
    if opened.truncated {
        let (rows, length) = (opened.trace.rows.len(), opened.trace.header.length);
        eprintln!("{}: cut off; the {rows} rows before the cut, {length:.1} s, are used", path.display());
    }
    Ok(opened.trace)
}

/// The indexes of `names` among `known_names`; `dimension` is the option that they were given by.
fn indexes(dimension: &str, names: &[String], known_names: &[String]) -> Result<Vec<u32>, CommandError> {
    let index = |name: &String| {
        let position = known_names.iter().position(|known| known == name);
        let unknown = || {
            CommandError::Input(format!(
                "--{dimension} '{name}': not in the trace, which has {}",
                known_names.join(", ")
            ))
        };
        position.map(|position| position as u32).ok_or_else(unknown)
    };
    names.iter().map(index).collect()
}

fn summary_text(summary: &Summary) -> String {
    let mut out =
        format!("{} operations in {:.1} s: {:.1} a second", summary.operations, summary.length, summary.rate);
    out += &format!(", {:.0} in the busiest second\n", summary.peak_rate);
    if summary.aggregated > 0 {
        out += &format!(
            "{} of them from load reports, without keys, work and single times\n",
            summary.aggregated
        );
    }
    if let Some(work) = summary.work_rate {
        out += &format!("{work:.2} cores of speed 1 used on average\n");
    }
    let percentage = |count: &u64| *count as f64 / summary.operations.max(1) as f64 * 100.0;
    for (dimension, counts) in [("class", &summary.by_class), ("zone", &summary.by_zone)] {
        for (name, count) in counts.iter().filter(|(_, count)| *count > 0) {
            out += &format!("  {dimension} {name:<20} {count:>9}  {:>5.1} %\n", percentage(count));
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

fn candidate_text(candidate: &Candidate) -> String {
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
            out += &format!("operations a second, in windows of 5 s: {}\n", rates.join(" "));
            out += &format!(
                "bursts: variance over mean of counts in 0.1 s {:.2} (Poisson: 1)\n",
                arrivals.dispersion
            );
            out += "gaps between arrivals, relative to the mean gap of their window:\n";
            arrivals.gaps.iter().for_each(|candidate| out += &candidate_text(candidate));
        }
        None => out += "arrivals: too few single operations to fit\n",
    }
    match &fitted.keys {
        Some(keys) => {
            let fits = if keys.fits { "fits" } else { "does not fit" };
            out += &format!(
                "{} keys, share by rank to the power of -{:.3}: distance {:.4} of {:.4}: {fits}\n",
                keys.keys, keys.exponent, keys.distance, keys.allowed
            );
            for (key, share) in &keys.outliers {
                out +=
                    &format!("  hotter than fitted: key {key}, {:.2} % of all operations\n", share * 100.0);
            }
        }
        None => out += "keys: too few known to fit\n",
    }
    for work in &fitted.work {
        out += &format!(
            "work of {}, {} operations; for a scenario file:\n  work = {:.5}\n  spread = {:.3}\n",
            work.class, work.values, work.mean, work.spread
        );
        work.candidates.iter().for_each(|candidate| out += &candidate_text(candidate));
    }
    out
}
