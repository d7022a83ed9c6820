//! Decodes the settings of a `CREATE` that the module reads.
use crate::fields::Line;
use railhub::{ClassConfig, ControllerConfig, Idempotency};

pub struct Names {
    pub classes: Vec<String>,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    /// Place of the busy share in load reports.
    pub busy_at: Option<usize>,
}

pub fn decode(line: &Line) -> Result<(ControllerConfig, Names), String> {
    let list = |field: &str| -> Result<Vec<String>, String> {
        let text = line.text(field)?;
        Ok(text.split(',').filter(|name| !name.is_empty()).map(str::to_owned).collect())
    };
    let reports = line.maybe("telemetry.names").unwrap_or_default();
    let busy_at = reports.split(',').position(|name| name == "busy");
    let mut classes = Vec::new();
    let mut names = Names { classes: Vec::new(), zones: list("zones")?, kinds: Vec::new(), busy_at };
    for k in 0..line.get::<usize>("request_classes.count")?.min(255) {
        let field = |tail: &str| format!("request_classes.{k}.{tail}");
        names.classes.push(line.text(&field("name"))?.to_owned());
        classes.push(ClassConfig {
            contract_time: line.seconds(&field("aim_us"))?,
            priority_weight: line.amount(&field("worth"))?,
            idempotency: match line.text(&field("effect"))? {
                "repeatable" => Idempotency::Safe,
                "by_key" if line.text(&field("group"))? == "all" => {
                    Idempotency::IdempotencyKeyGlobal(line.seconds(&field("key_ttl_us"))?)
                }
                "by_key" => Idempotency::IdempotencyKeyLocal,
                "once" => Idempotency::Never,
                other => return Err(line.wrong(&field("effect"), format!("cannot be '{other}'"))),
            },
        });
    }
    let single_owner = line.flag("family_info.exclusive")?;
    let write_time = |name: &str| if single_owner { line.seconds(name) } else { Ok(0.0) };
    let terms = ControllerConfig {
        classes,
        slice_count: line.get("family_info.key_ranges")?,
        single_owner,
        write_lease: write_time("family_info.write_lease_us")?,
        max_write_duration: write_time("family_info.write_life_us")?,
        health_checks_allowed: line.flag("ceilings.probes")?,
        delisted_may_serve: line
            .maybe("rules.removal_not_binding")
            .map_or(Ok(false), |_| line.flag("rules.removal_not_binding"))?,
        admission_by_fraction: line.text("family_info.throttle_by")? == "share",
        cold_capacity_fraction: line.amount("rules.cold_from")?,
        warm_up_time: line.seconds("rules.warm_within_us")?,
        overload_multiple: line.amount("rules.fall_multiple")?,
        backlog_limit: line.amount("family_info.backlog")?,
        message_overhead: line.amount("family_info.envelope")?,
        message_quota: line.get("family_info.update_cap")?,
        message_quota_window: line.seconds("family_info.messages_over_us")?,
        first_attempt_timeout_multiple: line.amount("family_info.first_wait")?,
    };
    Ok((terms, names))
}
