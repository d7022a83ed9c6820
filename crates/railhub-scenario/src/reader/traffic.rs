//! `[load] traffic`: recorded operations that replace drawn ones, mapped to the scenario's classes and zones.
use crate::scenario::OperationClass;
use railhub_ini::{Diagnostic, Section};
use railhub_trace::scale::{scale, CopyKeys};
use railhub_trace::{file, Trace, MAX_OPERATIONS};
use std::path::Path;
use std::sync::Arc;

/// Seed for scaling recorded traffic. It is fixed, so that a recording scaled by the same factors gives the same
/// traffic for every seed of a scenario.
const SCALE_SEED: u64 = 1;

/// Reads and scales the recording that `[load] traffic` names, if any.
pub(super) fn recorded_traffic(
    load: &Section,
    folder: &Path,
    zones: &[String],
    classes: &[OperationClass],
) -> Result<Option<Arc<Trace>>, Diagnostic> {
    let Some(name) = load.text("traffic") else { return Ok(None) };
    if load.text("share").is_some() || load.text("shape").is_some() {
        let message = "cannot be combined with share or shape: the recording defines the load";
        return Err(load.diagnostic("traffic", message));
    }
    let opened = file::open(&folder.join(name)).map_err(|error| load.diagnostic("traffic", error))?;
    let scaling = Scaling::read(load)?;
    let mut traffic = opened.trace;
    let operations = (traffic.operations() as f64 * scaling.multiple) as u64;
    if operations > MAX_OPERATIONS {
        let message = format!(
            "has {operations} operations after scaling, the limit is {MAX_OPERATIONS}: shorten the recording, or lower \
             traffic_times"
        );
        return Err(load.diagnostic("traffic", message));
    }
    let class_names = classes.iter().map(|class| class.properties.name.clone()).collect();
    map_names(&mut traffic, class_names, zones.to_vec())
        .map_err(|message| load.diagnostic("traffic", message))?;
    Ok(Some(Arc::new(scaling.apply(traffic))))
}

/// How recorded traffic is scaled.
struct Scaling {
    /// Number of operations for each recorded one.
    multiple: f64,
    /// Factor by which the times of operations are multiplied.
    stretch: f64,
    /// Which keys the copies of an operation have.
    copies: CopyKeys,
}

impl Scaling {
    fn read(load: &Section) -> Result<Scaling, Diagnostic> {
        let copies = [("same keys", CopyKeys::SameKeys), ("other keys", CopyKeys::OtherKeys)];
        Ok(Scaling {
            multiple: load.in_range("traffic_times", 1.0, 0.001, 1000.0)?,
            stretch: load.in_range("traffic_stretch", 1.0, 0.01, 100.0)?,
            copies: load.choice("traffic_copies", "same keys", &copies)?,
        })
    }

    fn apply(self, traffic: Trace) -> Trace {
        if self.multiple == 1.0 && self.stretch == 1.0 {
            return traffic;
        }
        scale(&traffic, self.multiple, self.stretch, self.copies, SCALE_SEED)
    }
}

/// A class or zone of recorded traffic that the scenario does not define.
#[derive(Debug, thiserror::Error)]
#[error("contains the {item} '{name}', which the scenario does not define")]
struct UnknownName {
    item: &'static str,
    name: String,
}

/// Replaces the recording's class and zone indexes by the scenario's.
fn map_names(traffic: &mut Trace, classes: Vec<String>, zones: Vec<String>) -> Result<(), UnknownName> {
    let class_indexes = scenario_indexes(&traffic.header.classes, &classes, "class-");
    let zone_indexes = scenario_indexes(&traffic.header.zones, &zones, "zone-");
    for row in &mut traffic.rows {
        let (class, zone) = (row.class as usize, row.zone as usize);
        let unknown = |item, names: &[String], index: usize| UnknownName { item, name: names[index].clone() };
        row.class = class_indexes[class].ok_or_else(|| unknown("class", &traffic.header.classes, class))?;
        row.zone = zone_indexes[zone].ok_or_else(|| unknown("zone", &traffic.header.zones, zone))?;
    }
    traffic.header.classes = classes;
    traffic.header.zones = zones;
    Ok(())
}

/// The scenario's index of each recorded name. A name that the scenario does not have may be a prefix and an index:
/// controllers do not know the names of zones and record `zone-3` for the fourth.
fn scenario_indexes(recorded: &[String], in_scenario: &[String], numbered_prefix: &str) -> Vec<Option<u32>> {
    let index_of = |name: &String| {
        let index = in_scenario.iter().position(|known| known == name);
        index.or_else(|| numbered_index(name, numbered_prefix, in_scenario.len())).map(|index| index as u32)
    };
    recorded.iter().map(index_of).collect()
}

fn numbered_index(name: &str, prefix: &str, count: usize) -> Option<usize> {
    let index = name.strip_prefix(prefix)?.parse().ok()?;
    (index < count).then_some(index)
}
