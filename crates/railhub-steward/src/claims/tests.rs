use super::*;

#[test]
fn a_flood_is_cut_and_a_steady_proxy_is_not() {
    let mut steady = Allowance::new(0.0);
    assert!((0..100_000).all(|n| steady.spend(f64::from(n) * 0.05)));
    let mut flood = Allowance::new(0.0);
    let passed = (0..10_000).take_while(|n| flood.spend(f64::from(*n) * 0.001)).count();
    assert!((500..600).contains(&passed), "{passed}");
}

#[test]
fn two_processes_do_not_throw_each_other_out_in_turn() {
    assert_eq!(claim(None, 7), RegistrationOutcome::Free);
    assert_eq!(claim(Some(7), 7), RegistrationOutcome::Replaces);
    assert_eq!(claim(Some(7), 8), RegistrationOutcome::Taken);
}
