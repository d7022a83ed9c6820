use super::*;

#[test]
fn a_key_is_replaced_in_its_section_alone_and_added_where_it_was_not() {
    let text = "[a]\nx = 1\n[b]\nx = 2\n";
    assert_eq!(replaced(text, "b.x", "7").as_deref(), Some("[a]\nx = 1\n[b]\nx = 7"));
    assert_eq!(replaced(text, "a.y", "3").as_deref(), Some("[a]\ny = 3\nx = 1\n[b]\nx = 2"));
    assert_eq!(replaced(text, "c.y", "3"), None);
}
