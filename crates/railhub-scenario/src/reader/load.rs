//! `[load]`: zone weights and the load over time.
use railhub_ini::{Diagnostic, Section};

/// Weights of the zones in the traffic; equal if the file gives none.
pub(super) fn zone_shares(load: &Section, zones: &[String]) -> Result<Vec<f64>, Diagnostic> {
    let texts = load.list("zone_shares");
    if texts.is_empty() {
        return Ok(vec![1.0; zones.len()]);
    }
    let shares: Vec<f64> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    let complete = shares.len() == zones.len();
    let usable = shares.iter().all(|share| *share >= 0.0) && shares.iter().sum::<f64>() > 0.0;
    if !complete || !usable {
        return Err(load.diagnostic(
            "zone_shares",
            format!("needs {} numbers of 0 or more, one per zone, and not all 0", zones.len()),
        ));
    }
    Ok(shares)
}

/// `shape = 0:1.0, 20:1.3`: multiples of the load at points in time, linear between them.
pub(super) fn load_shape(load: &Section) -> Result<Vec<(f64, f64)>, Diagnostic> {
    let texts = load.list("shape");
    let points: Option<Vec<(f64, f64)>> = texts.iter().map(|text| shape_point(text)).collect();
    points.filter(|points| is_ordered(points)).ok_or_else(|| {
        load.diagnostic("shape", "needs points SECONDS:MULTIPLE in the order of time, as in 0:1.0, 20:1.3")
    })
}

fn shape_point(text: &str) -> Option<(f64, f64)> {
    let (at, multiple) = text.split_once(':')?;
    let at = at.trim().parse().ok()?;
    let multiple = multiple.trim().parse::<f64>().ok()?;
    (multiple >= 0.0).then_some((at, multiple))
}

fn is_ordered(points: &[(f64, f64)]) -> bool {
    points.windows(2).all(|pair| pair[0].0 < pair[1].0)
}
