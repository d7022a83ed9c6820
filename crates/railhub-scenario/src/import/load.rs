//! Writes the sections of the load, the classes and the clients.
use super::source::{seconds, Class, SourceScenario};
use std::fmt::Write;

pub(super) fn write_load(out: &mut String, source: &SourceScenario) {
    let traffic = &source.traffic;
    let points = traffic.shape.iter().map(|(at, multiple)| format!("{at:.2}:{multiple:.3}"));
    let shape = points.collect::<Vec<_>>().join(", ");
    let _ = writeln!(out, "[load]\nshare = {:.3}\nshape = {shape}", traffic.load);
    let shares = traffic.zone_shares.iter().map(|share| format!("{share:.3}"));
    let _ = writeln!(out, "zone_shares = {}", shares.collect::<Vec<_>>().join(", "));
    let keys = (traffic.keys / source.control.slices.max(1.0)).max(1.0);
    let _ = writeln!(out, "keys = {keys:.0}\n");
}

pub(super) fn write_classes(out: &mut String, source: &SourceScenario) {
    for class in &source.classes {
        write_class(out, class);
    }
}

fn write_class(out: &mut String, class: &Class) {
    let work = seconds(class.work);
    let _ = writeln!(out, "[class {}]\nshare = {:.3}\nwork = {work:.5}", class.name, class.share);
    let contract_time = seconds(class.contract_time);
    let _ = writeln!(out, "spread = {:.3}\ncontract_time = {contract_time:.3}", class.cv);
    let _ = writeln!(out, "hard_stop = {:.3}\ngain = {}", seconds(class.hard_stop), class.gain);
    let repeats = repeats(class);
    let _ = writeln!(out, "repeats = {repeats}\nwrites = {}", if class.writes { "yes" } else { "no" });
    if repeats.starts_with("keyed") {
        let _ = writeln!(out, "key_window = {:.3}", seconds(class.key_window));
    }
    out.push('\n');
}

fn repeats(class: &Class) -> &'static str {
    match (class.effect.as_str(), class.group.as_str()) {
        ("safe", _) => "safe",
        ("keyed", "all") => "keyed",
        ("keyed", _) => "keyed nearby",
        _ => "never",
    }
}

pub(super) fn write_clients(out: &mut String, source: &SourceScenario) {
    let clients = &source.clients;
    let (retries, try_share) = (clients.retries, clients.try_share);
    let _ = writeln!(out, "[clients]\nretries = {retries}\ntry_share = {try_share:.3}");
    let _ = writeln!(out, "pause = {:.3}\n", seconds(clients.backoff));
}
