use super::*;

#[test]
fn two_processes_do_not_throw_each_other_out_in_turn() {
    assert_eq!(register(None, 7), RegistrationOutcome::Free);
    assert_eq!(register(Some(7), 7), RegistrationOutcome::Replaces);
    assert_eq!(register(Some(7), 8), RegistrationOutcome::Taken);
}
