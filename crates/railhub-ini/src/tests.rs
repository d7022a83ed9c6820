use super::*;

const TEXT: &str = "; a day\n[day]\nseed = 7\nlength = x\n\n[other]\nlenght = 5\n";

#[test]
fn diagnostics_have_line_numbers() {
    let document = Document::parse("a.ini", TEXT).expect("valid INI");
    let day = document.section("day");
    assert_eq!(day.required::<u64>("seed"), Ok(7));
    let diagnostic = day.required::<f64>("length").expect_err("not a number");
    assert_eq!(diagnostic.to_string(), "a.ini:4: [day] length cannot be 'x'");
    let diagnostic = document.section("other").reject_unread_keys().expect_err("unknown");
    assert_eq!(diagnostic.to_string(), "a.ini:7: [other] lenght is not known");
    assert_eq!(document.reject_unknown_sections(|name| name == "day").expect_err("unknown").line, 6);
}

#[test]
fn rejects_duplicate_keys() {
    let diagnostic = Document::parse("a.ini", "[day]\nseed=1\nseed=2\n").err().expect("duplicate");
    assert_eq!(diagnostic.to_string(), "a.ini:3: [day] seed is given twice");
}

#[test]
fn unknown_choice_lists_the_allowed_names() {
    let document = Document::parse("a.ini", "[day]\npick = best\n").expect("valid INI");
    let day = document.section("day");
    let choices = [("two", 2), ("weighted", 1), ("first", 0)];
    let diagnostic = day.choice("pick", "two", &choices).expect_err("unknown").to_string();
    assert_eq!(diagnostic, "a.ini:2: [day] pick cannot be 'best', expected two, weighted or first");
    assert_eq!(day.choice("none", "weighted", &choices), Ok(1));
}

#[test]
fn rejects_numbers_out_of_range() {
    let document = Document::parse("a.ini", "[day]\nshare = NaN\n").expect("valid INI");
    assert!(document.section("day").in_range("share", 0.5, 0.0, 1.0).is_err());
}
