//! Reduces a failing lease run.
use crate::breach::Breach;
use crate::config::ChaosConfig;
use crate::fault::Fault;
use crate::lease::judge::judge;
use crate::lease::observation::Sabotage;
use crate::lease::simulation::run;
use crate::shrink::minimal_faults;

/// Returns a minimal list of faults with which the run still breaks `rule`, and all breaches of that run. If the run does
/// not break `rule`, returns all faults and no breaches.
pub fn shrink(
    config: &ChaosConfig,
    seed: u64,
    faults: &[Fault],
    sabotage: Option<Sabotage>,
    rule: &str,
) -> (Vec<Fault>, Vec<Breach>) {
    let breaks_rule = |faults: &[Fault]| {
        let breaches = judge(&run(config, seed, faults, sabotage));
        breaches.iter().any(|breach| breach.rule == rule).then_some(breaches)
    };
    minimal_faults(faults, breaks_rule).unwrap_or_else(|| (faults.to_vec(), Vec::new()))
}
