//! Reduces a failing run: removes faults one by one as long as the failure remains.
use crate::fault::Fault;

/// Returns a minimal list of faults with which `find_failure` still returns a failure, and that failure; `None` if even
/// the complete list causes no failure.
pub fn minimal_faults<T>(
    faults: &[Fault],
    find_failure: impl Fn(&[Fault]) -> Option<T>,
) -> Option<(Vec<Fault>, T)> {
    let mut needed = faults.to_vec();
    let mut failure = find_failure(&needed)?;
    let mut position = 0;
    while position < needed.len() {
        let mut fewer = needed.clone();
        fewer.remove(position);
        match find_failure(&fewer) {
            Some(same_failure) => {
                needed = fewer;
                failure = same_failure;
            }
            None => position += 1,
        }
    }
    Some((needed, failure))
}
