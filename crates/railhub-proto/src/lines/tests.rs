use super::*;

#[test]
fn lines_in_pieces_of_any_size_come_whole_and_too_long_ones_not_at_all() {
    let text = b"first\n\nthe third\r\nlast\nunended";
    for piece in 1..=text.len() {
        let (mut lines, mut got) = (Lines::new(20), Vec::new());
        for part in text.chunks(piece) {
            lines.push(part);
            while lines.has_line().expect("short") {
                got.push(lines.line(|line| String::from_utf8(line.to_vec()).expect("text")));
            }
        }
        assert_eq!(got, ["first", "", "the third", "last"]);
    }
    let mut lines = Lines::new(20);
    lines.push(&[b'x'; 20]);
    assert_eq!(lines.has_line(), Ok(false));
    lines.push(b"y");
    assert_eq!(lines.has_line(), Err(FrameError::TooLong { length: 21, limit: 20 }));
}
