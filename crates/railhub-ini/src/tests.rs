use super::*;

const TEXT: &str = "; a day\n[day]\nseed = 7\nlength = x\n\n[other]\nlenght = 5\n";

#[test]
fn complaints_name_the_line() {
    let document = Document::parse("a.ini", TEXT).expect("readable");
    let day = document.section("day");
    assert_eq!(day.required::<u64>("seed"), Ok(7));
    let diagnostic = day.required::<f64>("length").expect_err("not a number");
    assert_eq!(diagnostic.to_string(), "a.ini:4: [day] length cannot be 'x'");
    let diagnostic = document.section("other").reject_unread_keys().expect_err("unknown");
    assert_eq!(diagnostic.to_string(), "a.ini:7: [other] lenght is not known");
    assert_eq!(document.reject_unknown_sections(|name| name == "day").expect_err("unknown").line, 6);
}

#[test]
fn a_key_given_twice_is_not_lost_in_silence() {
    let diagnostic = Document::parse("a.ini", "[day]\nseed=1\nseed=2\n").err().expect("twice");
    assert_eq!(diagnostic.to_string(), "a.ini:3: [day] seed is given twice");
}

#[test]
fn a_choice_names_what_it_may_be() {
    let document = Document::parse("a.ini", "[day]\npick = best\n").expect("readable");
    let day = document.section("day");
    let all = [("two", 2), ("weighted", 1), ("first", 0)];
    let diagnostic = day.choice("pick", "two", &all).expect_err("unknown").to_string();
    assert_eq!(diagnostic, "a.ini:2: [day] pick cannot be 'best': two, weighted or first");
    assert_eq!(day.choice("none", "weighted", &all), Ok(1));
}

#[test]
fn a_number_out_of_bounds_is_refused() {
    let document = Document::parse("a.ini", "[day]\nshare = NaN\n").expect("readable");
    assert!(document.section("day").in_range("share", 0.5, 0.0, 1.0).is_err());
}
