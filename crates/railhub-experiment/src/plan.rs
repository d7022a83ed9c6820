//! Reads an experiment's file: scenarios, and arms that change some of their keys, the policy, constants of the
//! decision module or its version. A sweep makes an arm for each value or pair of values.
use railhub_external_engine::variant;
use railhub_ini::{Diagnostic, Document, Section};
use railhub_scenario::Scenario;
use railhub_simulator::{Baseline, Policy};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Most arms that a sweep may make.
const MAX_SWEEP_ARMS: usize = 200;
/// Prefix of the keys of an arm that set constants of the decision module.
const MODULE_KEY_PREFIX: &str = "module.";

/// One of the compared configurations.
#[derive(Clone, Debug)]
pub struct Arm {
    pub name: String,
    pub policy: Policy,
    /// The experiment's scenarios with the arm's keys replacing their own.
    pub scenarios: Vec<Scenario>,
    /// Seed of the proxies' random choices (key `luck`). Arms that differ in it alone show the effect of chance.
    pub proxy_seed: u64,
    /// Values of the swept keys.
    pub swept: Vec<f64>,
    /// Constants of the decision module that the arm changes; [`Experiment::build`] builds a version with them.
    constants: BTreeMap<String, String>,
}

/// The arms and settings of an experiment.
#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    /// The others are compared with the first.
    pub arms: Vec<Arm>,
    pub scenario_names: Vec<String>,
    /// The swept keys, if any.
    pub sweep: Vec<String>,
    pub first_seed: u64,
    /// Blocks of the first stage.
    pub min_blocks: usize,
    /// Blocks after which the experiment stops in any case.
    pub max_blocks: usize,
    /// Half the width of the interval at which a difference is known precisely enough (key `close_enough`).
    pub max_half_width: f64,
    /// Smaller differences are not worth having (key `worth_having`).
    pub min_relevant_difference: f64,
    source: PathBuf,
}

/// The files that arms are made from.
struct ArmSource {
    /// Folder that relative paths of the file refer to.
    folder: PathBuf,
    /// Source tree that versions of the decision module are built from and kept in.
    source: PathBuf,
    /// Paths and texts of the scenarios.
    scenarios: Vec<(PathBuf, String)>,
}

impl Experiment {
    /// Reads and checks an experiment's file and its scenarios.
    pub fn open(path: &Path) -> Result<Experiment, Diagnostic> {
        let document = Document::open(path)?;
        let is_arm = |name: &str| name.starts_with("arm ");
        document.reject_unknown_sections(|name| name == "experiment" || name == "sweep" || is_arm(name))?;
        let head = document.section("experiment");
        let folder = path.parent().unwrap_or(Path::new(".")).to_owned();
        let source = folder.join(head.text("source").unwrap_or(".."));
        let arm_source = ArmSource { scenarios: read_scenarios(&head, &folder)?, folder, source };
        let mut arms = Vec::new();
        for name in document.section_names().into_iter().filter(|name| is_arm(name)) {
            let section = document.section(&name);
            let keys = section.keys().into_iter();
            let keys = keys.map(|key| (section.text(&key).unwrap_or_default().to_owned(), key));
            let keys = keys.map(|(value, key)| (key, value)).collect();
            arms.push(arm_source.arm(&section, name["arm ".len()..].trim(), &keys, Vec::new())?);
        }
        let sweep = document.section("sweep");
        let swept_keys =
            if sweep.exists() { add_sweep_arms(&sweep, &arm_source, &mut arms)? } else { Vec::new() };
        if arms.len() < 2 {
            return Err(head.diagnostic("", "needs two arms at least: [arm NAME], or a [sweep]"));
        }
        let names = arm_source.scenarios.iter().map(|(path, _)| path.file_stem().unwrap_or_default());
        let experiment = Experiment {
            name: head.value_or("name", "unnamed".to_owned())?,
            arms,
            source: arm_source.source.clone(),
            scenario_names: names.map(|name| name.to_string_lossy().into_owned()).collect(),
            sweep: swept_keys,
            first_seed: head.value_or("first_seed", 1)?,
            min_blocks: head.in_range("blocks_least", 8.0, 3.0, 10_000.0)? as usize,
            max_blocks: head.in_range("blocks_most", 100.0, 3.0, 100_000.0)? as usize,
            max_half_width: head.in_range("close_enough", 0.005, 0.0, 1.0)?,
            min_relevant_difference: head.in_range("worth_having", 0.005, 0.0, 1.0)?,
        };
        head.reject_unread_keys()?;
        Ok(experiment)
    }

    /// Builds the versions for arms that change constants; each takes some seconds unless an earlier build is kept.
    /// Calls `progress` with the number of finished builds and their total.
    pub fn build(&mut self, progress: &dyn Fn(usize, usize)) -> Result<(), String> {
        let versions_folder = self.source.join("target/versions");
        let total = self.arms.iter().filter(|arm| !arm.constants.is_empty()).count();
        let changed = self.arms.iter_mut().filter(|arm| !arm.constants.is_empty());
        for (done, arm) in changed.enumerate() {
            progress(done, total);
            let program = variant::build(&self.source, &versions_folder, &arm.constants);
            arm.policy = Policy::Version(program.map_err(|e| format!("[arm {}] {e}", arm.name))?);
        }
        Ok(())
    }
}

/// Reads the scenario files named by `days` and `day`.
fn read_scenarios(head: &Section, folder: &Path) -> Result<Vec<(PathBuf, String)>, Diagnostic> {
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

/// Adds an arm for each value, or each pair of values, of the swept keys, and returns these keys.
fn add_sweep_arms(
    sweep: &Section,
    arm_source: &ArmSource,
    arms: &mut Vec<Arm>,
) -> Result<Vec<String>, Diagnostic> {
    let read_axis = |key: &str, values: &str| -> Result<Option<(String, Vec<f64>)>, Diagnostic> {
        let Some(name) = sweep.text(key).map(str::to_owned) else { return Ok(None) };
        let texts = sweep.list(values);
        let numbers: Option<Vec<f64>> = texts.iter().map(|text| text.parse().ok()).collect();
        let numbers = numbers.filter(|values| values.len() >= 2);
        Ok(Some((name, numbers.ok_or_else(|| sweep.diagnostic(values, "needs at least two numbers"))?)))
    };
    let first = read_axis("key", "values")?.ok_or_else(|| sweep.diagnostic("key", "is missing"))?;
    let second = read_axis("key2", "values2")?;
    sweep.reject_unread_keys()?;
    let second_values: Vec<Option<f64>> = match &second {
        Some((_, values)) => values.iter().copied().map(Some).collect(),
        None => vec![None],
    };
    if first.1.len() * second_values.len() > MAX_SWEEP_ARMS {
        return Err(sweep.diagnostic("values", format!("make more than {MAX_SWEEP_ARMS} arms")));
    }
    for second_value in &second_values {
        for first_value in &first.1 {
            let mut keys = BTreeMap::from([(first.0.clone(), first_value.to_string())]);
            let mut name = format!("{} = {first_value}", first.0);
            if let (Some((key, _)), Some(second_value)) = (&second, second_value) {
                keys.insert(key.clone(), second_value.to_string());
                name += &format!(", {key} = {second_value}");
            }
            let sweep_values = std::iter::once(*first_value).chain(*second_value).collect();
            arms.push(arm_source.arm(sweep, &name, &keys, sweep_values)?);
        }
    }
    Ok(std::iter::once(first.0).chain(second.map(|second| second.0)).collect())
}

impl ArmSource {
    /// Makes an arm from the keys of its section, or from its values of the swept keys.
    fn arm(
        &self,
        section: &Section,
        name: &str,
        keys: &BTreeMap<String, String>,
        swept: Vec<f64>,
    ) -> Result<Arm, Diagnostic> {
        let mut scenario_texts: Vec<String> =
            self.scenarios.iter().map(|scenario| scenario.1.clone()).collect();
        let (mut constants, mut policy, mut proxy_seed) = (BTreeMap::new(), None, 0);
        for (key, value) in keys {
            if let Some(constant) = key.strip_prefix(MODULE_KEY_PREFIX) {
                constants.insert(constant.to_owned(), value.clone());
            } else if key == "policy" {
                policy = Some(parse_policy(section, value)?);
            } else if key == "version" {
                let program = self.folder.join(value);
                if !program.is_file() {
                    return Err(section.diagnostic(
                        key,
                        format!("'{value}' is not a file; expected the path of a program"),
                    ));
                }
                policy = Some(Policy::Version(program));
            } else if key == "luck" {
                proxy_seed = value.parse().map_err(|_| {
                    section.diagnostic(key, format!("cannot be '{value}'; expected a whole number"))
                })?;
            } else {
                for text in &mut scenario_texts {
                    let unknown = || {
                        section.diagnostic(
                            key,
                            "is no [section] and key of the scenario; expected for example: rules.grace = 3",
                        )
                    };
                    *text = with_key_set(text, key, value).ok_or_else(unknown)?;
                }
            }
        }
        if !constants.is_empty() && policy.is_some() {
            return Err(section.diagnostic(
                "policy",
                "and version cannot be combined with constants of the module (module.NAME)",
            ));
        }
        if !constants.is_empty() {
            variant::check(&self.source, &constants).map_err(|e| section.diagnostic("", e))?;
        }
        let scenarios = self.scenarios.iter().zip(&scenario_texts).map(|((path, _), text)| {
            let name = path.display().to_string();
            let folder = path.parent().unwrap_or(Path::new("."));
            let scenario =
                Document::parse(&name, text).and_then(|document| Scenario::read_in_folder(&document, folder));
            scenario.map_err(|e| section.diagnostic("", format!("makes the scenario invalid: {e}")))
        });
        let scenarios = scenarios.collect::<Result<_, _>>()?;
        Ok(Arm {
            name: name.to_owned(),
            policy: policy.unwrap_or(Policy::Controller),
            scenarios,
            proxy_seed,
            swept,
            constants,
        })
    }
}

fn parse_policy(section: &Section, name: &str) -> Result<Policy, Diagnostic> {
    let policies = [
        ("steward", Policy::Controller),
        ("fixed", Policy::Fixed),
        ("hash", Policy::Baseline(Baseline::Hash)),
        ("even", Policy::Baseline(Baseline::Even)),
        ("latency", Policy::Baseline(Baseline::Latency)),
    ];
    section.parse_choice("policy", name, &policies)
}

/// The text with `section.key` set to a value; `None` if the scenario has no such section.
fn with_key_set(text: &str, name: &str, value: &str) -> Option<String> {
    let (section, key) = name.rsplit_once('.')?;
    let header = format!("[{section}]");
    let mut lines = Vec::new();
    let (mut in_section, mut section_found) = (false, false);
    for line in text.lines() {
        let trimmed = line.trim();
        if trimmed.starts_with('[') {
            in_section = trimmed == header;
            lines.push(line.to_owned());
            if in_section {
                section_found = true;
                lines.push(format!("{key} = {value}"));
            }
            continue;
        }
        let is_replaced = in_section && trimmed.split_once('=').is_some_and(|(old, _)| old.trim() == key);
        if !is_replaced {
            lines.push(line.to_owned());
        }
    }
    section_found.then(|| lines.join("\n"))
}

#[cfg(test)]
mod tests;
