use super::*;

#[test]
fn strip_shows_the_position_of_an_interval() {
    assert_eq!(strip(-1.0, -0.5).trim_end().trim_end_matches('|').trim_end(), "=========");
    assert_eq!(strip(0.5, 1.0).trim_start().trim_start_matches('|').trim_start(), "========");
    assert_eq!(strip(-0.1, 0.1).trim(), "=|==");
}
