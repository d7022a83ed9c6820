//! An experiment as its file tells it: a day, and arms that change some of its keys or who steers.
use railhub_day::Day;
use railhub_fleet::{Baseline, Policy};
use railhub_ini::{Complaint, Sheet};
use std::path::Path;

#[derive(Clone, Debug)]
pub struct Arm {
    pub name: String,
    pub policy: Policy,
    /// The day with the arm's keys in place of its own.
    pub day: Day,
}

#[derive(Clone, Debug)]
pub struct Experiment {
    pub name: String,
    /// The first is what the others are compared with.
    pub arms: Vec<Arm>,
    pub first_seed: u64,
    pub blocks_least: usize,
    pub blocks_most: usize,
    /// Half the interval's width at which a difference is known well enough.
    pub close_enough: f64,
    /// A difference smaller than this is not worth having.
    pub worth_having: f64,
}

impl Experiment {
    pub fn open(path: &Path) -> Result<Experiment, Complaint> {
        let sheet = Sheet::open(path)?;
        let is_arm = |name: &str| name.starts_with("arm ");
        sheet.only(|name| name == "experiment" || is_arm(name))?;
        let head = sheet.section("experiment");
        let file: String = head.need("day")?;
        let file = path.parent().unwrap_or(Path::new(".")).join(file);
        let text = std::fs::read_to_string(&file)
            .map_err(|e| head.wrong("day", format!("{}: cannot be read: {e}", file.display())))?;
        let day_name = file.display().to_string();
        let mut arms = Vec::new();
        for name in sheet.sections().into_iter().filter(|name| is_arm(name)) {
            let section = sheet.section(&name);
            let policy = match section.text("policy").unwrap_or("steward") {
                "steward" => Policy::Steward,
                "fixed" => Policy::Fixed,
                "hash" => Policy::Baseline(Baseline::Hash),
                "even" => Policy::Baseline(Baseline::Even),
                other => {
                    let may = "steward, fixed, hash or even";
                    return Err(section.wrong("policy", format!("cannot be '{other}': {may}")));
                }
            };
            let mut changed = text.clone();
            for key in section.keys().into_iter().filter(|key| key != "policy") {
                let value = section.text(&key).unwrap_or_default();
                changed = replaced(&changed, &key, value).ok_or_else(|| {
                    section.wrong(&key, "is no [section] of the day and a key: rules.grace = 3")
                })?;
            }
            section.done()?;
            let day = Sheet::read(&day_name, &changed).and_then(|sheet| Day::read(&sheet));
            let day = day.map_err(|e| section.wrong("", format!("makes no good day: {e}")))?;
            arms.push(Arm { name: name["arm ".len()..].trim().to_owned(), policy, day });
        }
        if arms.len() < 2 {
            return Err(head.wrong("", "needs two arms at least: [arm NAME]"));
        }
        let experiment = Experiment {
            name: head.or("name", "unnamed".to_owned())?,
            arms,
            first_seed: head.or("first_seed", 1)?,
            blocks_least: head.within("blocks_least", 8.0, 3.0, 10_000.0)? as usize,
            blocks_most: head.within("blocks_most", 100.0, 3.0, 100_000.0)? as usize,
            close_enough: head.within("close_enough", 0.005, 0.0, 1.0)?,
            worth_having: head.within("worth_having", 0.005, 0.0, 1.0)?,
        };
        head.done()?;
        Ok(experiment)
    }
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
mod tests {
    use super::*;

    #[test]
    fn a_key_is_replaced_in_its_section_alone_and_added_where_it_was_not() {
        let text = "[a]\nx = 1\n[b]\nx = 2\n";
        assert_eq!(replaced(text, "b.x", "7").as_deref(), Some("[a]\nx = 1\n[b]\nx = 7"));
        assert_eq!(replaced(text, "a.y", "3").as_deref(), Some("[a]\ny = 3\nx = 1\n[b]\nx = 2"));
        assert_eq!(replaced(text, "c.y", "3"), None);
    }
}
