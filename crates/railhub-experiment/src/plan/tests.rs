use super::*;

#[test]
fn replaces_or_adds_a_key_in_its_section_only() {
    let text = "[a]\nx = 1\n[b]\nx = 2\n";
    assert_eq!(with_key_set(text, "b.x", "7").as_deref(), Some("[a]\nx = 1\n[b]\nx = 7"));
    assert_eq!(with_key_set(text, "a.y", "3").as_deref(), Some("[a]\ny = 3\nx = 1\n[b]\nx = 2"));
    assert_eq!(with_key_set(text, "c.y", "3"), None);
}
