//! Names of the decision constants in experiment plans. Plans are kept as files with `module.NAME` keys, so the former
//! names, from when all decisions were in one file, are still accepted as aliases.
//!
//! A plan may use either the current name or the alias. The former `EPOCH` also served as the minimum warm-up time,
//! which is now a separate constant without an alias (`MIN_WARM_UP_TIME`).

/// A constant of the decision modules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConstantName {
    /// Former name, which plans may use in place of the current one.
    pub alias: &'static str,
    /// Current name, as declared in the source.
    pub name: &'static str,
    /// Path of the file that declares it, relative to the repository root.
    pub file: &'static str,
}

const fn constant(alias: &'static str, name: &'static str, file: &'static str) -> ConstantName {
    ConstantName { alias, name, file }
}

const HEALTH_SCORE: &str = "src/decision/health_score.rs";
const OUTLIER_EJECTION: &str = "src/decision/outlier_ejection.rs";
const HEALTH_CHECK: &str = "src/decision/health_check.rs";
const HOST: &str = "src/decision/host.rs";
const SLOW_START: &str = "src/decision/slow_start.rs";
const SERVICE_TIME: &str = "src/decision/service_time.rs";
const LOAD_ESTIMATE: &str = "src/decision/load_estimate.rs";
const LOAD_REPORT: &str = "src/decision/load_report.rs";
const ASSIGNMENT: &str = "src/decision/assignment.rs";
const SLICE_MOVES: &str = "src/decision/placement/slice_moves.rs";
const FAILBACK: &str = "src/decision/placement/failback.rs";
const REBALANCING: &str = "src/decision/placement/rebalancing.rs";
const ADMISSION: &str = "src/decision/admission.rs";
const RETRY_POLICY: &str = "src/decision/retry_policy.rs";
const TABLE: &str = "src/decision/table.rs";
const PUBLISH: &str = "src/decision/publish.rs";

/// All constants that have an alias.
pub const CONSTANT_NAMES: [ConstantName; 46] = [
    constant("EPOCH", "TICK_INTERVAL", HEALTH_SCORE),
    constant("RATIO_THRESH", "HEAVY_FAILURE_FRACTION", HEALTH_SCORE),
    constant("MIN_TTR", "SCORE_RECOVERY_TIME", HEALTH_SCORE),
    constant("WINDOW", "SCORE_WINDOW", HEALTH_SCORE),
    constant("PERCENTILE", "SCORE_PERCENTILE", HEALTH_SCORE),
    constant("GAP", "EJECTION_SCORE_GAP", OUTLIER_EJECTION),
    constant("RETURN_SCORE", "EJECTION_END_SCORE", OUTLIER_EJECTION),
    constant("RETURNS_PER_TURN", "MAX_FAILBACKS_PER_TICK", FAILBACK),
    constant("MEMORY", "DEMAND_AVERAGING", LOAD_REPORT),
    constant("UNHEARD", "UNREPORTED_TIMEOUT", ASSIGNMENT),
    constant("REPORT_AGE", "REPORT_DELAY", LOAD_REPORT),
    constant("LEAST_SPAN", "MIN_REPORT_SPAN", LOAD_REPORT),
    constant("SPEED_MEMORY", "SERVICE_TIME_AVERAGING", SERVICE_TIME),
    constant("LAG", "LAG_LATENCY_MULTIPLE", REBALANCING),
    constant("LAG_TURNS", "MIN_LAGGING_TICKS", REBALANCING),
    constant("WORTH_MOVING", "MIN_LATENCY_GAIN_FRACTION", REBALANCING),
    constant("MOVES_PER_TURN", "MAX_REBALANCED_HOSTS_FRACTION", REBALANCING),
    constant("REST", "MOVE_COOLDOWN", SLICE_MOVES),
    constant("MOVES_A_SECOND", "MOVE_QUOTA_RATE", REBALANCING),
    constant("COLD_KEYS", "COLD_CACHE_DEMAND_MULTIPLE", SLICE_MOVES),
    constant("USUAL_COUNTS", "TYPICAL_SERVICE_TIME_WEIGHT", SERVICE_TIME),
    constant("UNKNOWN_SERVICE", "DEFAULT_SERVICE_TIME", LOAD_ESTIMATE),
    constant("KEY_SLACK", "MIN_KEY_WINDOW_MULTIPLE", RETRY_POLICY),
    constant("STANDBY", "STANDBY_WEIGHT", TABLE),
    constant("FULL", "MAX_UTILIZATION", SLOW_START),
    constant("COLD_FILL", "COLD_MAX_UTILIZATION_FRACTION", SLOW_START),
    constant("COLD_SHED", "COLD_OFFLOAD_UTILIZATION_FRACTION", SLOW_START),
    constant("SWING", "DEMAND_SWING_MULTIPLE", LOAD_ESTIMATE),
    constant("STEEP", "LINEAR_LATENCY_UTILIZATION", LOAD_ESTIMATE),
    constant("STEEPNESS", "LINEAR_LATENCY_SLOPE", LOAD_ESTIMATE),
    constant("SILENT_PROBES", "UNHEALTHY_THRESHOLD", HEALTH_CHECK),
    constant("UNREACHED_PROBES", "UNREACHABLE_THRESHOLD", HEALTH_CHECK),
    constant("SILENT_SUMS", "FAILING_REPORTS_TIMEOUT", HEALTH_CHECK),
    constant("FORGET_AFTER", "GONE_HOST_RETENTION", HOST),
    constant("MOST_DOWN", "MAX_FRACTION_DOWN", HEALTH_CHECK),
    constant("OVERLOAD", "OVERLOAD_UTILIZATION", ADMISSION),
    constant("RETRY_ROOM", "MAX_RETRY_UTILIZATION", RETRY_POLICY),
    constant("LEVEL_FALL", "MAX_ADMISSION_DECREASE", ADMISSION),
    constant("LEVEL_RISE", "MAX_ADMISSION_INCREASE", ADMISSION),
    constant("LEVEL_STEP", "MIN_ADMISSION_CHANGE", ADMISSION),
    constant("AT_ONCE", "IMMEDIATE_QUOTA_FRACTION", PUBLISH),
    constant("URGENT_MESSAGES", "URGENT_MESSAGE_RESERVE", PUBLISH),
    constant("MARK_LOST", "UPDATE_EXPIRY", PUBLISH),
    constant("STALLED", "STALLED_UPDATE_TIMEOUT", PUBLISH),
    constant("BACKLOG_USE", "MAX_BACKLOG_FRACTION", PUBLISH),
    constant("ORDINARY_USE", "MAX_ORDINARY_BACKLOG_FRACTION", PUBLISH),
];

/// Finds a constant by its name or its alias; `None` if it has no alias.
pub fn find(key: &str) -> Option<&'static ConstantName> {
    CONSTANT_NAMES.iter().find(|constant| constant.alias == key || constant.name == key)
}

#[cfg(test)]
mod tests;
