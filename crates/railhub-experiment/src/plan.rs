//! An experiment as its file tells it: days, and arms that change some of their keys, who steers, the module's
//! constants or its version. A sweep makes an arm of each value.
use railhub_external_engine::variant;
use railhub_ini::{Diagnostic, Document, Section};
use railhub_scenario::Scenario;
use railhub_simulator::{Baseline, Policy};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Arms that a sweep may make.
const SWEEP_MOST: usize = 200;
/// Keys of an arm that begin with this are constants of the module.
const MODULE: &str = "module.";

#[derive(Clone, Debug)]
pub struct Arm {
    pub name: String,
    pub policy: Policy,
    /// The experiment's days with the arm's keys in place of their own.
    pub days: Vec<Scenario>,
    /// Other picks of the proxies, all else the same: to see what chance alone does.
    pub luck: u64,
    /// Its values in a sweep.
    pub swept: Vec<f64>,
    /// Constants of the module that it changes; [`Experiment::build`] makes a version of them.
    constants: BTreeMap<String, String>,
}

#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    /// The first is what the others are compared with.
    pub arms: Vec<Arm>,
    pub days: Vec<String>,
    /// Keys that are swept, if any.
    pub sweep: Vec<String>,
    pub first_seed: u64,
    pub min_blocks: usize,
    pub max_blocks: usize,
    /// Half the interval's width at which a difference is known well enough.
    pub close_enough: f64,
    /// A difference smaller than this is not worth having.
    pub worth_having: f64,
    source: PathBuf,
}

/// What arms are made of.
struct Ground {
    /// Where paths of the file begin.
    folder: PathBuf,
    /// The tree that variants of the module are built of, and where they are kept.
    source: PathBuf,
    /// Names and texts of the days.
    days: Vec<(PathBuf, String)>,
}

impl Experiment {
    pub fn open(path: &Path) -> Result<Experiment, Diagnostic> {
        let document = Document::open(path)?;
        let is_arm = |name: &str| name.starts_with("arm ");
        document.reject_unknown_sections(|name| name == "experiment" || name == "sweep" || is_arm(name))?;
        let head = document.section("experiment");
        let folder = path.parent().unwrap_or(Path::new(".")).to_owned();
        let source = folder.join(head.text("source").unwrap_or(".."));
        let ground = Ground { days: days(&head, &folder)?, folder, source };
        let mut arms = Vec::new();
        for name in document.section_names().into_iter().filter(|name| is_arm(name)) {
            let section = document.section(&name);
            let keys = section.keys().into_iter();
            let keys = keys.map(|key| (section.text(&key).unwrap_or_default().to_owned(), key));
            let keys = keys.map(|(value, key)| (key, value)).collect();
            arms.push(ground.arm(&section, name["arm ".len()..].trim(), &keys, Vec::new())?);
        }
        let sweep = document.section("sweep");
        let swept = if sweep.exists() { swept(&sweep, &ground, &mut arms)? } else { Vec::new() };
        if arms.len() < 2 {
            return Err(head.diagnostic("", "needs two arms at least: [arm NAME], or a [sweep]"));
        }
        let days = ground.days.iter().map(|(path, _)| path.file_stem().unwrap_or_default());
        let experiment = Experiment {
            name: head.value_or("name", "unnamed".to_owned())?,
            arms,
            source: ground.source.clone(),
            days: days.map(|name| name.to_string_lossy().into_owned()).collect(),
            sweep: swept,
            first_seed: head.value_or("first_seed", 1)?,
            min_blocks: head.in_range("blocks_least", 8.0, 3.0, 10_000.0)? as usize,
            max_blocks: head.in_range("blocks_most", 100.0, 3.0, 100_000.0)? as usize,
            close_enough: head.in_range("close_enough", 0.005, 0.0, 1.0)?,
            worth_having: head.in_range("worth_having", 0.005, 0.0, 1.0)?,
        };
        head.reject_unread_keys()?;
        Ok(experiment)
    }

    /// Builds the versions that arms with other constants need: some seconds each, unless they are kept from
    /// before. `progress` is told how many there are and how many stand.
    pub fn build(&mut self, progress: &dyn Fn(usize, usize)) -> Result<(), String> {
        let kept = self.source.join("target/versions");
        let of = self.arms.iter().filter(|arm| !arm.constants.is_empty()).count();
        let changed = self.arms.iter_mut().filter(|arm| !arm.constants.is_empty());
        for (done, arm) in changed.enumerate() {
            progress(done, of);
            let built = variant::build(&self.source, &kept, &arm.constants);
            arm.policy = Policy::Version(built.map_err(|e| format!("[arm {}] {e}", arm.name))?);
        }
        Ok(())
    }
}

fn days(head: &Section, folder: &Path) -> Result<Vec<(PathBuf, String)>, Diagnostic> {
    let mut names = head.list("days");
    names.extend(head.text("day").map(str::to_owned));
    if names.is_empty() {
        return Err(head.diagnostic("day", "is missing: day = FILE, or days = FILE, FILE"));
    }
    let read = |name: &String| {
        let file = folder.join(name);
        let text = std::fs::read_to_string(&file);
        let text =
            text.map_err(|e| head.diagnostic("day", format!("{}: cannot be read: {e}", file.display())))?;
        Ok((file, text))
    };
    names.iter().map(read).collect()
}

/// Adds an arm for each value, or each pair of values, of the keys that are swept.
fn swept(sweep: &Section, ground: &Ground, arms: &mut Vec<Arm>) -> Result<Vec<String>, Diagnostic> {
    let axis = |key: &str, values: &str| -> Result<Option<(String, Vec<f64>)>, Diagnostic> {
        let Some(name) = sweep.text(key).map(str::to_owned) else { return Ok(None) };
        let texts = sweep.list(values);
        let read: Option<Vec<f64>> = texts.iter().map(|text| text.parse().ok()).collect();
        let read = read.filter(|values| values.len() >= 2);
        Ok(Some((name, read.ok_or_else(|| sweep.diagnostic(values, "needs two numbers at least"))?)))
    };
    let first = axis("key", "values")?.ok_or_else(|| sweep.diagnostic("key", "is missing"))?;
    let second = axis("key2", "values2")?;
    sweep.reject_unread_keys()?;
    let others: Vec<Option<f64>> = match &second {
        Some((_, values)) => values.iter().copied().map(Some).collect(),
        None => vec![None],
    };
    if first.1.len() * others.len() > SWEEP_MOST {
        return Err(sweep.diagnostic("values", format!("make more than {SWEEP_MOST} arms")));
    }
    for other in &others {
        for value in &first.1 {
            let mut keys = BTreeMap::from([(first.0.clone(), value.to_string())]);
            let mut name = format!("{} = {value}", first.0);
            if let (Some((key, _)), Some(other)) = (&second, other) {
                keys.insert(key.clone(), other.to_string());
                name += &format!(", {key} = {other}");
            }
            let at = std::iter::once(*value).chain(*other).collect();
            arms.push(ground.arm(sweep, &name, &keys, at)?);
        }
    }
    Ok(std::iter::once(first.0).chain(second.map(|second| second.0)).collect())
}

impl Ground {
    fn arm(
        &self,
        section: &Section,
        name: &str,
        keys: &BTreeMap<String, String>,
        swept: Vec<f64>,
    ) -> Result<Arm, Diagnostic> {
        let mut texts: Vec<String> = self.days.iter().map(|day| day.1.clone()).collect();
        let (mut constants, mut policy, mut luck) = (BTreeMap::new(), None, 0);
        for (key, value) in keys {
            if let Some(constant) = key.strip_prefix(MODULE) {
                constants.insert(constant.to_owned(), value.clone());
            } else if key == "policy" {
                policy = Some(plain(section, value)?);
            } else if key == "version" {
                let program = self.folder.join(value);
                if !program.is_file() {
                    return Err(section.diagnostic(key, format!("'{value}' is no program")));
                }
                policy = Some(Policy::Version(program));
            } else if key == "luck" {
                luck = value.parse().map_err(|_| section.diagnostic(key, format!("cannot be '{value}'")))?;
            } else {
                for text in &mut texts {
                    let unknown =
                        || section.diagnostic(key, "is no [section] of the day and a key: rules.grace = 3");
                    *text = replaced(text, key, value).ok_or_else(unknown)?;
                }
            }
        }
        if !constants.is_empty() && policy.is_some() {
            return Err(
                section.diagnostic("policy", "and version may not stand beside constants of the module")
            );
        }
        if !constants.is_empty() {
            variant::check(&self.source, &constants).map_err(|e| section.diagnostic("", e))?;
        }
        let days = self.days.iter().zip(&texts).map(|((path, _), text)| {
            let name = path.display().to_string();
            let folder = path.parent().unwrap_or(Path::new("."));
            let day =
                Document::parse(&name, text).and_then(|document| Scenario::read_in_folder(&document, folder));
            day.map_err(|e| section.diagnostic("", format!("makes no good day: {e}")))
        });
        let days = days.collect::<Result<_, _>>()?;
        Ok(Arm {
            name: name.to_owned(),
            policy: policy.unwrap_or(Policy::Controller),
            days,
            luck,
            swept,
            constants,
        })
    }
}

fn plain(section: &Section, name: &str) -> Result<Policy, Diagnostic> {
    let all = [
        ("steward", Policy::Controller),
        ("fixed", Policy::Fixed),
        ("hash", Policy::Baseline(Baseline::Hash)),
        ("even", Policy::Baseline(Baseline::Even)),
        ("latency", Policy::Baseline(Baseline::Latency)),
    ];
    section.parse_choice("policy", name, &all)
}

/// The text with `section.key` set to a value; `None` if the day has no such section.
fn replaced(text: &str, name: &str, value: &str) -> Option<String> {
    let (section, key) = name.rsplit_once('.')?;
    let header = format!("[{section}]");
    let mut out = Vec::new();
    let (mut inside, mut found) = (false, false);
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            inside = trimmed == header;
            out.push(line.to_owned());
            if inside {
                found = true;
                out.push(format!("{key} = {value}"));
            }
            continue;
        }
        let is_old = inside && trimmed.split_once('=').is_some_and(|(old, _)| old.trim() == key);
        if !is_old {
            out.push(line.to_owned());
        }
    }
    found.then(|| out.join("\n"))
}

#[cfg(test)]
mod tests;
